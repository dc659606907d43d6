import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type HostId} from '../../../contracts/ids.js';
import {type PeerSelection} from '../../../core/routing/peer-selection.js';
import {type ForwardDispatch} from '../attempts/forward-dispatch.js';
import {type ForwardedRequest} from '../attempts/forwarded-request.js';
import {PeerCall, type PeerCallOutcome} from './peer-call.js';
import {type PeerConnections} from './peer-connections.js';

/** Options of the peer forwarder. */
export type PeerForwarderOptions = {
	readonly host: HostId;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly selection: PeerSelection;
	readonly connections: PeerConnections;
	/** Addresses of the other hosts that this one knows. */
	readonly knownPeers: () => readonly string[];
};

/** Peers that are asked for one request until one of them takes it. */
const maximumPeers = 3;
/** Retry delay sent when no peer takes a request. The caller may reach another host by then. */
const noPeerRetryMilliseconds = 500;
const stoppingReason = 'the host stops before the request could end';
/** Margin by which the deadline at a peer precedes that of this host, so that the statement of the peer arrives first. */
const deadlineMarginMilliseconds = 20;
/** Remaining time below which a request is not sent to a peer. */
const minimumRemainingMilliseconds = 50;

/** Forwards requests to peers while this host reaches no target of their pool. */
export class PeerForwarder extends Disposable {
	private readonly calls = new Map<ForwardedRequest, PeerCall>();

	constructor(private readonly options: PeerForwarderOptions) {
		super();
	}

	/** Forwards a request to a peer. A peer that has not run it is followed by another one. */
	async forward(
		request: ForwardedRequest,
		dispatch: ForwardDispatch,
	): Promise<void> {
		const {selection, connections, knownPeers} = this.options;
		const excluded = new Set<string>();
		let reason = 'no target of the pool and no other host is reached';
		let retryAfterMilliseconds = noPeerRetryMilliseconds;
		while (!(await dispatch.findWhetherEnded(request))) {
			if (request.remainingMilliseconds() < minimumRemainingMilliseconds) {
				request.expire();
				return;
			}

			if (!dispatch.mayBegin(request)) {
				request.refuse(stoppingReason, noPeerRetryMilliseconds);
				return;
			}

			const peer =
				excluded.size < maximumPeers
					? selection.choose(knownPeers(), excluded)
					: undefined;
			if (peer === undefined) {
				this.count('none');
				request.refuse(reason, retryAfterMilliseconds);
				return;
			}

			const allowed = allowedExecutions(request);
			this.recordSent(request, dispatch, peer);
			request.peer = peer;
			request.executions++;
			const call = new PeerCall({
				client: connections.get(peer),
				request,
				message: this.createMessage(request, dispatch, allowed),
				maximumBodyBytes: dispatch.maximumBodyBytes,
				budget: dispatch.budget,
				onStreamStart(version) {
					if (request.softwareVersion === undefined) {
						request.softwareVersion = version;
						dispatch.recordStreamStart(request);
					}
				},
			});
			const outcome = await this.run(call, request, peer);
			this.recordOutcome(request, peer, outcome);
			if (outcome.kind === 'answered' || request.isFinished) {
				return;
			}

			if (outcome.kind === 'not-run') {
				request.executions--;
				excluded.add(peer);
				reason = outcome.reason;
				retryAfterMilliseconds =
					outcome.retryAfterMilliseconds ?? noPeerRetryMilliseconds;
				continue;
			}

			if (outcome.kind === 'lost') {
				excluded.add(peer);
			}

			request.executions +=
				(outcome.kind === 'lost' ? allowed : Math.max(1, outcome.executions)) -
				1;
			if (
				(outcome.kind === 'failed' && outcome.isSuspect) ||
				!dispatch.tryRepeatElsewhere(request)
			) {
				request.fail(
					outcome.reason,
					outcome.kind === 'failed' ? outcome.status : undefined,
				);
				return;
			}

			reason = outcome.reason;
			if (request.hasStarted) {
				request.continuations++;
			}
		}
	}

	/** Cancels the call of a request that has its final response or whose caller has left. */
	cancel(request: ForwardedRequest): void {
		this.calls.get(request)?.cancel();
	}

	dispose(): void {
		for (const call of this.calls.values()) {
			call.cancel();
		}
	}

	private async run(
		call: PeerCall,
		request: ForwardedRequest,
		peer: string,
	): Promise<PeerCallOutcome> {
		const {selection} = this.options;
		this.calls.set(request, call);
		selection.recordStart(peer);
		const outcome = await call.run();
		selection.recordEnd(peer);
		this.calls.delete(request);
		if (
			outcome.kind === 'lost' ||
			(outcome.kind === 'not-run' && outcome.isHostUnable)
		) {
			selection.avoid(peer);
		}

		return outcome;
	}

	private createMessage(
		request: ForwardedRequest,
		{pool}: ForwardDispatch,
		maximumExecutions: number,
	) {
		const {options, lastEventId, softwareVersion} = request;
		return {
			host: this.options.host,
			method: options.method,
			requestTarget: options.requestTarget,
			rawHeaders: options.codec.encodeForPeer(
				options.rawHeaders,
				options.customer,
			),
			body: options.body,
			pool,
			remainingMilliseconds: Math.max(
				1,
				Math.floor(
					request.remainingMilliseconds() - deadlineMarginMilliseconds,
				),
			),
			ageMilliseconds: request.hasStarted
				? 0
				: Math.round(this.options.clock.monotonic() - options.arrivedAt),
			maximumExecutions,
			...(lastEventId === undefined ? {} : {lastEventId: BigInt(lastEventId)}),
			...(softwareVersion === undefined ? {} : {softwareVersion}),
			isKeyChecked: true,
			...(options.customer === undefined ? {} : {customer: options.customer}),
		};
	}

	private recordSent(
		request: ForwardedRequest,
		{pool}: ForwardDispatch,
		peer: string,
	): void {
		this.options.events.record(forwardingEvents.requestSentToPeer, {
			request: request.metadata.id,
			peer,
			pool,
			lastEventId: request.lastEventId,
			reason: 'no target of the pool is reached',
		});
	}

	private recordOutcome(
		request: ForwardedRequest,
		peer: string,
		outcome: PeerCallOutcome,
	): void {
		this.count(outcome.kind);
		if (outcome.kind !== 'answered') {
			this.options.events.record(forwardingEvents.peerFailed, {
				request: request.metadata.id,
				peer,
				outcome: outcome.kind,
				reason: outcome.reason,
			});
		}
	}

	private count(outcome: string): void {
		this.options.metrics.count('daisylever_peer_forwards_total', {outcome});
	}
}

/** Executions that a peer may use. One stays for another peer if this one is lost with an unknown outcome. */
function allowedExecutions({
	isRepeatable,
	executions,
	route,
}: ForwardedRequest): number {
	return isRepeatable
		? Math.max(1, route.maximumExecutions - executions - 1)
		: 1;
}
