import {Disposable} from '../../../base/common/disposable.js';
import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {
	probeConnection,
	type ConnectionOutcome,
} from '../../../base/node/connection-probe.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type PoolName, type TargetId} from '../../../contracts/ids.js';
import {type ReachabilityFailure} from '../../../core/routing/target-reachability.js';
import {type TargetRegistry} from './target-registry.js';

/** Collaborators of the prober. */
export type ReachabilityProberOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly registry: TargetRegistry;
};

/** Interval at which due probes are sent. */
const checkIntervalMilliseconds = 25;
/** Time within which a target that runs and is reached accepts a connection. */
const connectTimeoutMilliseconds = 400;

const failures: Readonly<
	Record<Exclude<ConnectionOutcome, 'opened'>, ReachabilityFailure>
> = {
	refused: 'connection-refused',
	'timed-out': 'connect-timeout',
	failed: 'connect-error',
};

/** Opens the connections by which the host finds out whether it reaches its targets, and logs changes. */
export class ReachabilityProber extends Disposable {
	private readonly abort = new AbortController();
	private readonly timer: NodeJS.Timeout;
	private readonly subscriptions: Disposable[];
	private readonly cutOffSince = new Map<PoolName, number>();

	constructor(private readonly options: ReachabilityProberOptions) {
		super();
		const {reachability} = options.registry;
		this.timer = setInterval(() => {
			this.sendProbes();
		}, checkIntervalMilliseconds);
		this.subscriptions = [
			reachability.suspected.subscribe(() => {
				this.sendProbes();
			}),
			reachability.changed.subscribe((pool) => {
				this.logChange(pool);
			}),
		];
	}

	dispose(): void {
		clearInterval(this.timer);
		this.abort.abort();
		for (const subscription of this.subscriptions) {
			void subscription.dispose();
		}
	}

	private sendProbes(): void {
		for (const target of this.options.registry.reachability.takeProbes()) {
			void this.probe(target);
		}
	}

	private async probe(target: TargetId): Promise<void> {
		const {registry} = this.options;
		const address = registry.get(target)?.listed.address;
		if (address === undefined) {
			return;
		}

		const {signal} = this.abort;
		const outcome = await probeConnection(
			address,
			connectTimeoutMilliseconds,
			signal,
		);
		if (signal.aborted || registry.get(target)?.listed.address !== address) {
			return;
		}

		if (outcome === 'opened') {
			registry.reachability.recordConnection(target);
		} else {
			registry.reachability.recordFailure(target, failures[outcome]);
		}
	}

	private logChange(pool: PoolName): void {
		const {clock, events, registry} = this.options;
		if (registry.reachability.isCutOff(pool)) {
			this.cutOffSince.set(pool, clock.monotonic());
			events.record(forwardingEvents.poolUnreachable, {
				pool,
				...registry.reachability.evidence(pool),
			});
			return;
		}

		const since = this.cutOffSince.get(pool) ?? clock.monotonic();
		this.cutOffSince.delete(pool);
		events.record(forwardingEvents.poolReachedAgain, {
			pool,
			milliseconds: Math.round(clock.monotonic() - since),
		});
	}
}
