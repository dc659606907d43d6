import {type Server} from 'node:http';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable, DisposableStore} from '../../../base/common/disposable.js';
import {
	type EventLogger,
	type LogEventDefinition,
} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {ReadPacer} from '../../../base/node/read-pacer.js';
import {type ServedConnections} from '../../../base/node/served-connections.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {ByteBudget} from '../../../core/limits/byte-budget.js';
import {type ClientLimits} from '../../../core/limits/client-limits.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {
	ConnectionGuard,
	type ConnectionGuardOptions,
} from './connection-guard.js';

type RefuseBody = ConnectionGuardOptions['refuseBody'];

/** Options of the memory that is held for clients and targets. */
export type HeldMemoryOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly limits: ClientLimits;
	/** Collects the buffers of received bytes, where the memory is limited. */
	readonly collectBuffers?: (() => void) | undefined;
};

/** Part of the sum for the bodies of requests, which are refused as not run without a loss at a target. */
const requestShare = 0.33;
/** Part of the sum for the bodies of answers. */
const answerShare = 0.6;
/** A body of the largest size that a document allows by default fits in any case. */
const minimumBytes = 5_000_000;
/** Time for which another host may send nothing of a body. */
const peerIdleMilliseconds = 15_000;
/** Time between log lines about the same limit. */
const logIntervalMilliseconds = 10_000;

/** All that a host holds for callers, other hosts and targets: one sum with a part for each direction, and a guard for each listener. */
export class HeldMemory extends Disposable {
	/** Bodies of requests. */
	readonly requests: ByteBudget;
	/** Bodies of answers. */
	readonly answers: ByteBudget;
	private readonly total: ByteBudget;
	private readonly pacer: ReadPacer;
	private readonly components = new DisposableStore();
	private readonly guards: ConnectionGuard[] = [];
	private readonly log: LogLimiter;

	constructor(private readonly options: HeldMemoryOptions) {
		super();
		const {clock, limits} = options;
		this.pacer = new ReadPacer(options.collectBuffers);
		this.log = new LogLimiter({
			clock,
			intervalMilliseconds: logIntervalMilliseconds,
			maximumLines: 16,
		});
		this.total = new ByteBudget(limits.heldBytes);
		this.requests = this.createPart({
			share: requestShare,
			mayRefuseSmall: true,
			metric: 'daisylever_requests_over_memory_total',
			event: forwardingEvents.requestsExceedMemory,
		});
		this.answers = this.createPart({
			share: answerShare,
			mayRefuseSmall: false,
			metric: 'daisylever_answers_over_memory_total',
			event: forwardingEvents.answersExceedMemory,
		});
		this.requests.refused.subscribe(() => {
			this.guards.some((guard) => guard.endStalledBody());
		});
		this.answers.refused.subscribe(() => {
			for (const guard of this.guards) {
				guard.closeDeaf();
			}
		});
	}

	/** Limits the connections of callers. */
	guardCallers(
		server: Server,
		connections: ServedConnections,
		refuseBody: RefuseBody,
	): void {
		this.guard(server, connections, {
			listener: 'callers',
			maximumConnections: this.options.limits.connections,
			slowBodyStatus: 408,
			// The document's idle time, which the server has for persistent connections.
			idleMilliseconds: () => server.keepAliveTimeout,
			refuseBody,
		});
	}

	/** Limits the connections of other hosts. */
	guardPeers(server: Server, connections: ServedConnections): void {
		this.guard(server, connections, {
			listener: 'peers',
			maximumConnections: this.options.limits.peerConnections,
			slowBodyStatus: undefined,
			idleMilliseconds: () => peerIdleMilliseconds,
			refuseBody(_message, response) {
				response.destroy();
			},
		});
	}

	/** Updates the gauges of what is held. */
	updateGauges(): void {
		const {metrics} = this.options;
		metrics.gauge('daisylever_held_bytes', this.total.heldBytes);
		metrics.gauge(
			'daisylever_client_connections',
			this.guards.reduce((sum, guard) => sum + guard.openConnections, 0),
		);
	}

	async dispose(): Promise<void> {
		await this.components.dispose();
	}

	private guard(
		server: Server,
		connections: ServedConnections,
		{
			listener,
			maximumConnections,
			slowBodyStatus,
			idleMilliseconds,
			refuseBody,
		}: {
			readonly listener: string;
			readonly maximumConnections: number;
			readonly slowBodyStatus: number | undefined;
			readonly idleMilliseconds: () => number;
			readonly refuseBody: RefuseBody;
		},
	): void {
		const {clock, metrics, limits} = this.options;
		const guard = this.components.add(
			new ConnectionGuard({
				server,
				clock,
				pacer: this.pacer,
				limits,
				maximumConnections,
				total: this.total,
				idleMilliseconds,
				isEnding: (socket) => connections.isEnding(socket),
				refuseBody,
				endSlowBody(response) {
					if (
						slowBodyStatus === undefined ||
						response.headersSent ||
						response.socket?.writable !== true
					) {
						response.destroy();
						return;
					}

					response.writeHead(slowBodyStatus, {
						'Content-Length': '0',
						Connection: 'close',
					});
					response.end();
				},
			}),
		);
		guard.closed.subscribe((reason) => {
			metrics.count('daisylever_clients_closed_total', {listener, reason});
			this.logLimited(forwardingEvents.clientClosed, `${listener} ${reason}`, {
				listener,
				reason,
				connections: guard.openConnections,
			});
		});
		this.guards.push(guard);
	}

	private createPart({
		share,
		mayRefuseSmall,
		metric,
		event,
	}: {
		readonly share: number;
		readonly mayRefuseSmall: boolean;
		readonly metric: string;
		readonly event: LogEventDefinition;
	}): ByteBudget {
		const part = new ByteBudget(
			Math.max(minimumBytes, this.options.limits.heldBytes * share),
			{total: this.total, mayRefuseSmall},
		);
		part.refused.subscribe(() => {
			this.options.metrics.count(metric);
			this.logLimited(event, event.name, {});
		});
		return part;
	}

	private logLimited(
		event: LogEventDefinition,
		key: string,
		fields: Readonly<Record<string, unknown>>,
	): void {
		const omittedLines = this.log.admit(key);
		if (omittedLines !== undefined) {
			this.options.events.record(event, {
				...fields,
				heldBytes: this.total.heldBytes,
				omittedLines,
			});
		}
	}
}
