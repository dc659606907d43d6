import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type Execution} from '../../contracts/execution.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type OfferingName,
	type PoolName,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {
	TargetRefusedError,
	type TargetError,
} from '../../contracts/target-error.js';
import {type Urgency} from '../../core/fairness/dispatch-queue.js';
import {type TargetDirectory} from '../targets/target-directory.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from './dispatch-contracts.js';
import {Dispatcher} from './dispatcher.js';
import {AbstractPoolDispatch} from './abstract-pool-dispatch.js';

/** A call to a plain service, as submitted to its dispatch. */
export type ServiceWork = {
	readonly requestId: RequestId;
	readonly caller: CallerId;
	readonly urgency: Urgency;
	/** The route of the call. Calls of one route are expected to take similar time. */
	readonly route: OfferingName;
	/** False if the call may be executed at most once. */
	readonly isIdempotent: boolean;
	readonly timeoutMilliseconds: number;
	readonly method: string;
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/** Why a call has no response. With `not-run` it has not been executed and will not be. */
export type ServiceFailure = {
	readonly execution: Execution;
	readonly code: WorkRefusal['code'];
};

/** Dependencies of the dispatch of one pool of plain services. */
export type ServicePoolDispatchOptions = {
	readonly pool: PoolName;
	readonly host: HostId;
	readonly targets: TargetDirectory;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
};

type PendingCall = {
	readonly work: ServiceWork;
	readonly deadline: number;
	readonly attempts: Map<number, AbortController>;
	readonly resolve: (result: Result<ServiceResponse, ServiceFailure>) => void;
};

/** Runs the calls to one pool of plain services: the dispatcher assigns targets, this class makes the calls. */
export class ServicePoolDispatch extends AbstractPoolDispatch {
	readonly dispatcher: Dispatcher;
	private readonly calls = new Map<RequestId, PendingCall>();

	constructor(private readonly options: ServicePoolDispatchOptions) {
		super();
		this.dispatcher = new Dispatcher({
			clock: options.clock,
			random: options.random,
			host: options.host,
			port: new ServicePort(this),
			directory: new ReachableCandidates(options.targets, options.pool),
			logger: options.events,
		});
	}

	/** Makes a call. Aborting the signal ends it; the outcome is then unknown if an attempt was in flight. */
	async call(
		work: ServiceWork,
		signal: AbortSignal,
	): Promise<Result<ServiceResponse, ServiceFailure>> {
		return new Promise((resolve) => {
			const call: PendingCall = {
				work,
				deadline: this.options.clock.monotonic() + work.timeoutMilliseconds,
				attempts: new Map(),
				resolve,
			};
			this.calls.set(work.requestId, call);
			this.post({kind: 'submitted', item: toWorkItem(work)});
			signal.addEventListener(
				'abort',
				() => {
					this.abandon(work.requestId);
				},
				{once: true},
			);
		});
	}

	/** Starts one attempt on the assigned target. */
	startAttempt(binding: Binding): void {
		const call = this.calls.get(binding.request);
		if (call) {
			void this.attempt(call, binding);
		}
	}

	/** Cancels one attempt whose response is no longer needed. */
	cancelAttempt(attempt: Attempt): void {
		this.calls.get(attempt.request)?.attempts.get(attempt.attempt)?.abort();
	}

	/** Ends a call without a response. */
	fail(request: RequestId, failure: ServiceFailure): void {
		this.resolveCall(request, err(failure));
	}

	override dispose(): void {
		super.dispose();
		for (const {work, attempts} of this.calls.values()) {
			this.fail(work.requestId, {
				execution: attempts.size > 0 ? 'unknown' : 'not-run',
				code: 'no-target',
			});
		}
	}

	protected isIdle(): boolean {
		return this.calls.size === 0;
	}

	private async attempt(call: PendingCall, binding: Binding): Promise<void> {
		const identity = toAttemptIdentity(binding);
		const service = this.options.targets.target(binding.target)?.service;
		if (!service) {
			this.post({kind: 'refused', ...identity, reason: 'leaving'});
			return;
		}

		const controller = new AbortController();
		call.attempts.set(binding.attempt, controller);
		const {work} = call;
		const response = await service.call(
			{
				requestId: work.requestId,
				method: work.method,
				path: work.path,
				contentType: work.contentType,
				body: work.body,
				timeoutMilliseconds: Math.max(
					1,
					call.deadline - this.options.clock.monotonic(),
				),
				// If a reused connection has gone silent, the outcome is unknown; a failure to connect proves that the call was not executed.
				newConnection: !work.isIdempotent,
			},
			controller.signal,
		);
		call.attempts.delete(binding.attempt);
		if (response.isOk()) {
			this.post({kind: 'progressed', ...identity, tokens: 1});
			this.post({kind: 'completed', ...identity, tokens: 1});
			this.resolveCall(binding.request, ok(response.value));
			return;
		}

		if (!controller.signal.aborted) {
			this.handleFailedAttempt(identity, response.error);
		}
	}

	private handleFailedAttempt(identity: Attempt, error: TargetError): void {
		const {targets} = this.options;
		if (error instanceof TargetRefusedError) {
			if (error.reason === 'leaving') {
				targets.markUnavailable(identity.target, 'leaving');
			}

			this.post({kind: 'refused', ...identity, reason: error.reason});
			return;
		}

		targets.markUnavailable(identity.target, 'unreachable');
		this.post({kind: 'lost', ...identity, execution: error.execution});
	}

	private abandon(request: RequestId): void {
		const call = this.calls.get(request);
		if (!call) {
			return;
		}

		const execution = call.attempts.size > 0 ? 'unknown' : 'not-run';
		this.post({kind: 'abandoned', request});
		this.fail(request, {execution, code: 'deadline'});
	}

	private resolveCall(
		request: RequestId,
		result: Result<ServiceResponse, ServiceFailure>,
	): void {
		const call = this.calls.get(request);
		this.calls.delete(request);
		call?.resolve(result);
		this.disposeIfIdle();
	}
}

/** Forwards the decisions of the dispatcher to the pool dispatch. */
class ServicePort extends DispatchPort {
	constructor(private readonly poolDispatch: ServicePoolDispatch) {
		super();
	}

	dispatch(binding: Binding): void {
		this.poolDispatch.startAttempt(binding);
	}

	refuse({item, code}: WorkRefusal): void {
		this.poolDispatch.fail(item.request, {execution: 'not-run', code});
	}

	fail(item: WorkItem, execution: Execution): void {
		this.poolDispatch.fail(item.request, {execution, code: 'no-target'});
	}

	demote(): void {
		// Plain services do not support priorities.
	}

	cancel(attempt: Attempt): void {
		this.poolDispatch.cancelAttempt(attempt);
	}
}

/** Lists the reachable targets of a pool. If there are none, lists the unreachable ones, which may have recovered. */
class ReachableCandidates extends CandidateDirectory {
	private cached: readonly TargetId[] | undefined;

	constructor(
		private readonly targets: TargetDirectory,
		private readonly pool: PoolName,
	) {
		super();
		targets.changed.subscribe(() => {
			this.cached = undefined;
		});
	}

	targetsFor(): readonly TargetId[] {
		this.cached ??= this.find();
		return this.cached;
	}

	private find(): readonly TargetId[] {
		const notLeaving = this.targets
			.targetsInPool(this.pool)
			.filter((target) => target.unavailabilityReason !== 'leaving');
		const reachable = notLeaving.filter(
			(target) => target.unavailabilityReason === undefined,
		);
		return (reachable.length > 0 ? reachable : notLeaving).map(
			(target) => target.definition.id,
		);
	}
}

function toWorkItem(work: ServiceWork): WorkItem {
	return {
		request: work.requestId,
		caller: work.caller,
		urgency: work.urgency,
		offering: work.route,
		promptCharacters: work.body.byteLength,
		maximumTokens: 0,
		prefixes: [],
		remainingMilliseconds: work.timeoutMilliseconds,
		idempotent: work.isIdempotent,
		fingerprint: work.requestId as string as Fingerprint,
		suspect: false,
	};
}

function toAttemptIdentity({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}
