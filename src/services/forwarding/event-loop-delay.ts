import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {forwardingEvents} from '../../contracts/events/forwarding-events.js';

/** Collaborators. */
export type EventLoopDelayOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
};

/** Delay of a tick that is logged as a stall. Half of the delay that callers notice is far above it. */
const stallThresholdMilliseconds = 30;

/** Observes by how much the event loop runs a timer late. */
export class EventLoopDelay {
	private lastIntervalAt: number;
	/** Interval of the timer that calls `record`. Infinite before its first call. */
	private intervalMilliseconds = Number.POSITIVE_INFINITY;
	private stalledAt = Number.NEGATIVE_INFINITY;
	/** Time from the last run of the timer before the last stall to its end. */
	private stalledMilliseconds = 0;

	constructor(private readonly options: EventLoopDelayOptions) {
		this.lastIntervalAt = options.clock.monotonic();
	}

	/** Records by how much a timer with this interval was late. Called by it. */
	record(intervalMilliseconds: number): void {
		const now = this.options.clock.monotonic();
		const delay = now - this.lastIntervalAt - intervalMilliseconds;
		this.lastIntervalAt = now;
		this.intervalMilliseconds = intervalMilliseconds;
		this.options.metrics.observe(
			'daisylever_event_loop_delay_milliseconds',
			Math.max(0, delay),
		);
		if (delay >= stallThresholdMilliseconds) {
			this.stalledAt = now;
			this.stalledMilliseconds = delay + intervalMilliseconds;
			this.options.events.record(forwardingEvents.eventLoopStalled, {
				milliseconds: Math.round(delay),
			});
		}
	}

	/** Time by which a signal that is noticed now may be older: the event loop was blocked for so long until a moment ago. */
	signalMilliseconds(): number {
		const now = this.options.clock.monotonic();
		const overdue = now - this.lastIntervalAt - this.intervalMilliseconds;
		if (overdue >= stallThresholdMilliseconds) {
			return now - this.lastIntervalAt;
		}

		return now - this.stalledAt < stallThresholdMilliseconds
			? this.stalledMilliseconds + now - this.stalledAt
			: 0;
	}
}
