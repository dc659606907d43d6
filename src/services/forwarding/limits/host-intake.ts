import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '../../../base/common/clock.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type RequestCodec} from '../../../contracts/request-codec.js';
import {AcceptPressure} from '../../../core/admission/accept-pressure.js';
import {type HostLoadPolicy} from '../../../core/admission/host-load-policy.js';
import {CustomerKeys} from '../../../core/fairness/customer-keys.js';
import {RouteTable} from '../../../core/routing/route-table.js';
import {
	ReceivedRequestHandler,
	type ReceivedRequest,
} from '../forwarding-server.js';

/** Handles requests, and refuses some that were not handled. */
export abstract class RefusingRequestHandler extends ReceivedRequestHandler {
	/** Refuses a request as not run. */
	abstract refuseForLoad(
		message: IncomingMessage,
		response: ServerResponse,
		retryMilliseconds: number,
	): void;
}

/** Collaborators of the intake. */
export type HostIntakeOptions = {
	readonly clock: Clock;
	readonly metrics: MetricRegistry;
	readonly policy: HostLoadPolicy;
	readonly handler: () => RefusingRequestHandler;
	readonly codec: RequestCodec;
	readonly document: () => ForwardingDocument | undefined;
};

type WaitingRequest = ReceivedRequest & {
	readonly arrivedAt: number;
	/** Wait after which the request is refused, because it would miss its objective. */
	readonly objectiveMilliseconds: number;
};

/** What decides when a request is handled. */
type Rank = {
	/** 0 is the most urgent, except for the rests of streams. */
	readonly priority: number;
	readonly objectiveMilliseconds: number;
};

/** The rest of a stream goes first and is never refused for the load of the host, because its caller has received the beginning. */
const streamRestRank: Rank = {
	priority: -1,
	objectiveMilliseconds: Number.POSITIVE_INFINITY,
};
/** Time for which requests are handled in one turn of the event loop, in which the listener accepts one connection. */
const sliceMilliseconds = 5;
/** Requests that one turn starts at most. The later work of a request, its answer above all, takes ten times as long as its start. */
const maximumStartsPerTurn = 4;
/** Share of the objective that the wait for requests before it may take. The other half is for the target and the network. */
const waitObjectiveShare = 0.5;
/** Delay until requests are looked at again while there is no room for one. */
const noRoomMilliseconds = 10;

/**
 * Receives the requests of callers while the work of this host is limited. Requests wait here without having cost more
 * than the reading of their heads, the most urgent are handled first, and those that would wait for too long are refused
 * as not run. Each turn of the event loop handles few of them, and none for a while as long as connections arrive: Node.js
 * accepts one connection a turn, and work in each turn would leave the others in the backlog. Passes each request on at
 * once while there is no limit.
 */
export class HostIntake extends ReceivedRequestHandler {
	/** Requests by their priority. */
	private readonly waiting = new Map<number, Set<WaitingRequest>>();
	private readonly refused = new Set<WaitingRequest>();
	private document: ForwardingDocument | undefined;
	private routes = new RouteTable({routes: []});
	private keys = new CustomerKeys({routes: []});
	private readonly pressure: AcceptPressure;
	private isScheduled = false;
	/** True if the last turn found requests and no room for them. */
	private lacksRoom = false;
	private passesAll = false;
	private started = 0;
	private refusals = 0;

	constructor(private readonly options: HostIntakeOptions) {
		super();
		this.pressure = new AcceptPressure(options);
	}

	/** Requests passed on since the process started. */
	get startedRequests(): number {
		return this.started;
	}

	/** Requests refused since the process started. */
	get refusedRequests(): number {
		return this.refusals;
	}

	/** True in a turn that only accepts connections. */
	get isAccepting(): boolean {
		return !this.passesAll && this.pressure.isHolding;
	}

	/** Time for which the oldest request has waited although there is room for it, which shows that the processor does not suffice. */
	get longestWaitMilliseconds(): number {
		if (this.lacksRoom) {
			return 0;
		}

		const now = this.options.clock.monotonic();
		return Math.max(
			0,
			...[...this.waiting.values()].map((requests) => {
				const oldest = firstOf(requests);
				return oldest ? now - oldest.arrivedAt : 0;
			}),
		);
	}

	/** Requests that wait to be handled. */
	get waitingRequests(): number {
		let count = 0;
		for (const requests of this.waiting.values()) {
			count += requests.size;
		}

		return count;
	}

	/** Requests that wait to be handled or refused. */
	get heldRequests(): number {
		return this.waitingRequests + this.refused.size;
	}

	/** Records that a connection of a caller was accepted. */
	recordAccepted(): void {
		if (this.passesAll) {
			return;
		}

		this.pressure.recordAccepted();
		this.schedule();
	}

	handle(request: ReceivedRequest): void {
		const {policy, clock} = this.options;
		const hasOthers = this.heldRequests > 0;
		const mustWait = policy.isLimited || this.pressure.isActive || hasOthers;
		if (this.passesAll || !mustWait) {
			this.start(request);
			return;
		}

		const {priority, objectiveMilliseconds} = this.rank(request.message);
		const entry = {
			...request,
			arrivedAt: request.arrivedAt ?? clock.monotonic(),
			objectiveMilliseconds,
		};
		if (
			policy.waitMilliseconds(this.countUpTo(priority)) >
			objectiveMilliseconds * waitObjectiveShare
		) {
			this.refused.add(entry);
		} else {
			const requests = this.waiting.get(priority) ?? new Set();
			requests.add(entry);
			this.waiting.set(priority, requests);
		}

		// Node.js never marks a response as closed that waited behind others on its connection; there is only the event.
		request.response.once('close', () => {
			this.refused.delete(entry);
			this.waiting.get(priority)?.delete(entry);
		});
		this.schedule();
	}

	reject(
		message: IncomingMessage,
		response: ServerResponse,
		status: 400 | 413 | 431,
	): void {
		this.options.handler().reject(message, response, status);
	}

	refuseForMemory(message: IncomingMessage, response: ServerResponse): void {
		this.options.handler().refuseForMemory(message, response);
	}

	/** Passes on all requests at once from now on, because the host stops and ends them itself, or by its settings limits no work. */
	passAll(): void {
		this.passesAll = true;
		for (const request of this.takeAll()) {
			this.start(request);
		}
	}

	private takeAll(): WaitingRequest[] {
		const requests = [
			...this.refused,
			...[...this.waiting.values()].flatMap((each) => [...each]),
		];
		this.refused.clear();
		this.waiting.clear();
		return requests;
	}

	private start(request: ReceivedRequest): void {
		this.started++;
		this.options.handler().handle(request);
	}

	private refuse({message, response}: WaitingRequest): void {
		this.refusals++;
		this.options.metrics.count('daisylever_host_load_refusals_total');
		this.options
			.handler()
			.refuseForLoad(
				message,
				response,
				this.options.policy.promiseRoom(this.waitingRequests),
			);
	}

	private rank(message: IncomingMessage): Rank {
		const {codec, document, policy} = this.options;
		const current = document();
		if (current && current !== this.document) {
			this.document = current;
			this.routes = new RouteTable(current);
			this.keys = new CustomerKeys(current);
		}

		const route = this.routes.match(
			message.headers.host ?? '',
			message.url ?? '/',
		);
		const metadata = codec.decodeRequest(message.rawHeaders);
		const objectiveMilliseconds =
			route?.latencyObjectiveMilliseconds ?? policy.objectiveMilliseconds;
		if (!route || metadata.isErr()) {
			return {priority: 0, objectiveMilliseconds};
		}

		const {keyDigest, lastEventId} = metadata.value;
		if (route.kind === 'stream' && lastEventId !== undefined) {
			return streamRestRank;
		}

		const decision = this.keys.check(route, keyDigest);
		const customer = decision.isAccepted ? decision.customer : undefined;
		return {
			priority: this.keys.rank(route, customer).priority,
			objectiveMilliseconds,
		};
	}

	/** Number of waiting requests that are handled before a new one of this priority. */
	private countUpTo(priority: number): number {
		let count = 0;
		for (const [each, requests] of this.waiting) {
			count += each <= priority ? requests.size : 0;
		}

		return count;
	}

	private schedule(delayMilliseconds = 0): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		const run = () => {
			this.isScheduled = false;
			this.endTurn();
		};

		if (delayMilliseconds > 0) {
			setTimeout(run, delayMilliseconds);
		} else {
			setImmediate(run);
		}
	}

	private endTurn(): void {
		if (!this.pressure.endTurn()) {
			this.schedule();
			return;
		}

		const hasRoom = this.runSlice();
		this.lacksRoom = !hasRoom;
		if (this.refused.size > 0 || (hasRoom && this.waitingRequests > 0)) {
			this.schedule();
		} else if (this.waitingRequests > 0) {
			this.schedule(noRoomMilliseconds);
		}
	}

	/** Starts and refuses requests in turn for a short time. Returns false when there is no room for another one. */
	private runSlice(): boolean {
		const {clock, policy} = this.options;
		const startedAt = clock.monotonic();
		let hasRoom = true;
		let starts = 0;
		do {
			this.refuseNext();
			const next = hasRoom ? this.peek() : undefined;
			if (next) {
				hasRoom = policy.tryStart();
				if (hasRoom) {
					starts++;
					this.start(takeFirst(next)!);
				}
			}

			if (!next && this.refused.size === 0) {
				break;
			}
		} while (
			starts < maximumStartsPerTurn &&
			clock.monotonic() - startedAt < sliceMilliseconds
		);

		return hasRoom;
	}

	private refuseNext(): void {
		const next = takeFirst(this.refused);
		if (next && !next.response.closed) {
			this.refuse(next);
		}
	}

	/** Returns the most urgent requests that wait, the first of which may still be handled. */
	private peek(): Set<WaitingRequest> | undefined {
		for (const priority of [...this.waiting.keys()].sort((a, b) => a - b)) {
			const requests = this.waiting.get(priority)!;
			for (
				let first = firstOf(requests);
				first && this.mustLeave(first);
				first = firstOf(requests)
			) {
				requests.delete(first);
				this.refused.add(first);
			}

			if (requests.size > 0) {
				return requests;
			}

			this.waiting.delete(priority);
		}

		return undefined;
	}

	/** True for a request whose caller has left, or that would miss its objective while the processor does not suffice. */
	private mustLeave(request: WaitingRequest): boolean {
		const {clock, policy} = this.options;
		return (
			request.response.closed ||
			((policy.isLimited || this.pressure.isActive) &&
				clock.monotonic() - request.arrivedAt > request.objectiveMilliseconds)
		);
	}
}

function firstOf(requests: ReadonlySet<WaitingRequest>) {
	const [first] = requests;
	return first;
}

function takeFirst(requests: Set<WaitingRequest>) {
	const first = firstOf(requests);
	if (first) {
		requests.delete(first);
	}

	return first;
}
