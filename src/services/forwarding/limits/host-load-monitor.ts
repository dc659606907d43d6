import {monitorEventLoopDelay} from 'node:perf_hooks';
import process from 'node:process';
import {type Clock} from '../../../base/common/clock.js';
import {Disposable} from '../../../base/common/disposable.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type HostLoadPolicy} from '../../../core/admission/host-load-policy.js';
import {type HostReadiness} from '../../../core/admission/host-readiness.js';
import {type HostIntake} from './host-intake.js';

/** Collaborators of the monitor. */
export type HostLoadMonitorOptions = {
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	readonly policy: HostLoadPolicy;
	readonly readiness: HostReadiness;
	readonly intake: HostIntake;
	/** Latency objectives of the routes in force. */
	readonly objectives: () => readonly number[];
};

/** Interval of the samples. Four of them decide within the second in which the load balancer asks. */
const sampleMilliseconds = 250;
/** Interval of the timer that measures the delay. Costs 50 short wake-ups a second. */
const resolutionMilliseconds = 20;
/** Percentile of the delays in one sample. The largest may be a single collection of garbage. */
const delayPercentile = 90;
/** Processor time is counted in microseconds, the delay in nanoseconds. */
const microsecondsPerMillisecond = 1000;
const nanosecondsPerMillisecond = 1_000_000;

/** Measures the delay of the event loop and the processor time of this process, and lets the policies of the host's load decide on them. */
export class HostLoadMonitor extends Disposable {
	private readonly delays = monitorEventLoopDelay({
		resolution: resolutionMilliseconds,
	});

	private timer: NodeJS.Timeout | undefined;
	private sampledAt = 0;
	private usage = process.cpuUsage();
	private started = 0;
	private refused = 0;

	constructor(private readonly options: HostLoadMonitorOptions) {
		super();
	}

	/** Starts to measure. */
	start(): void {
		const {clock, intake} = this.options;
		this.delays.enable();
		this.sampledAt = clock.monotonic();
		this.usage = process.cpuUsage();
		this.started = intake.startedRequests;
		this.timer = setInterval(() => {
			this.sample();
		}, sampleMilliseconds);
	}

	dispose(): void {
		clearInterval(this.timer);
		this.delays.disable();
	}

	private sample(): void {
		const {clock, policy, intake, objectives} = this.options;
		const now = clock.monotonic();
		const elapsedMilliseconds = now - this.sampledAt;
		const {user, system} = process.cpuUsage(this.usage);
		const startedRequests = intake.startedRequests - this.started;
		// Requests that wait in the intake keep the turns short, so that their wait counts as well, unless it is for the limit.
		const delayMilliseconds = Math.max(
			this.takeDelay(elapsedMilliseconds),
			intake.longestWaitMilliseconds,
		);
		this.sampledAt = now;
		this.usage = process.cpuUsage();
		this.started = intake.startedRequests;
		const all = objectives();
		if (all.length > 0) {
			policy.setObjective(Math.min(...all));
		}

		const change = policy.record({
			elapsedMilliseconds,
			delayMilliseconds,
			usedMilliseconds: (user + system) / microsecondsPerMillisecond,
			startedRequests,
			hasUnmetDemand:
				intake.waitingRequests > 0 || intake.refusedRequests > this.refused,
		});
		this.refused = intake.refusedRequests;
		if (change) {
			this.recordChange(change);
		}

		this.updateReadiness(delayMilliseconds);
		this.updateMetrics();
	}

	/** Upper quantile of the delays since the last sample. The timer does not run while the event loop is blocked, so that a sample without a delay was blocked as a whole. */
	private takeDelay(elapsedMilliseconds: number): number {
		const {delays} = this;
		const delay =
			delays.count === 0
				? elapsedMilliseconds
				: delays.percentile(delayPercentile) / nanosecondsPerMillisecond -
					resolutionMilliseconds;
		delays.reset();
		return Math.max(0, delay, elapsedMilliseconds - sampleMilliseconds);
	}

	private updateReadiness(delayMilliseconds: number): void {
		const {policy, readiness, events} = this.options;
		const {objectiveMilliseconds, isLimited} = policy;
		const hasChanged = readiness.record(
			isLimited && delayMilliseconds >= objectiveMilliseconds,
			delayMilliseconds < objectiveMilliseconds / 2,
		);
		if (hasChanged) {
			events.record(
				readiness.isReady
					? forwardingEvents.readinessRestored
					: forwardingEvents.readinessWithdrawn,
				this.describe(),
			);
		}
	}

	private recordChange(change: 'engaged' | 'released'): void {
		this.options.events.record(
			change === 'engaged'
				? forwardingEvents.hostLoadLimited
				: forwardingEvents.hostLoadReleased,
			this.describe(),
		);
	}

	private describe() {
		const {policy, intake} = this.options;
		const {usedShare, delayMilliseconds} = policy.measured;
		return {
			delayMilliseconds: Math.round(delayMilliseconds),
			usedShare: Number(usedShare.toFixed(2)),
			requestsPerSecond: policy.isLimited
				? Number(policy.limitPerSecond.toFixed(1))
				: undefined,
			waitingRequests: intake.waitingRequests,
			refusedRequests: intake.refusedRequests,
		};
	}

	private updateMetrics(): void {
		const {metrics, policy, readiness} = this.options;
		const {usedShare} = policy.measured;
		metrics.gauge('daisylever_processor_used_share', usedShare);
		metrics.gauge(
			'daisylever_host_limit_requests_per_second',
			policy.isLimited ? policy.limitPerSecond : 0,
		);
		metrics.gauge('daisylever_readiness_withdrawn', readiness.isReady ? 0 : 1);
	}
}
