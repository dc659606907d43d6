import {type RequestId, type TargetId} from '../contracts/ids.js';
import {AdmissionPolicy} from '../core/admission/admission-policy.js';
import {CallerLimiter} from '../core/admission/caller-limiter.js';
import {StartLimiter} from '../core/admission/start-limiter.js';
import {OutlierDetector} from '../core/routing/outlier-detector.js';
import {type CandidateWork} from '../core/routing/routing-policy.js';
import {SlotPolicy} from '../core/routing/slot-policy.js';
import {
	TargetLoadTracker,
	type TargetLoad,
} from '../core/routing/target-load-tracker.js';
import {LengthDistribution} from '../core/work/length-distribution.js';
import {LengthEstimator} from '../core/work/length-estimator.js';
import {
	WorkEstimator,
	type UsualWork,
	type WorkEstimate,
	type WorkFeatures,
} from '../core/work/work-estimator.js';
import {type WorkItem} from '../services/dispatch/dispatch-contracts.js';
import {type DispatcherOptions} from '../services/dispatch/dispatcher.js';
import {WorkScheduling} from '../services/dispatch/work-scheduling.js';
import {type DispatcherChoice, type Strategy} from './serving-model.js';
import {type TargetModel} from './target-model.js';
import {tokensPerEvent} from './work-scenario.js';
import {type WorkloadRequest} from './workload.js';

const usualStepMilliseconds = 5;
const promptTokensPerMillisecond = 38.4;
/** Spread with which the length of a hint counts, small because nothing is learned of it. */
const trustedSpread = 0.1;

/** Takes the hint for the length, and half of the maximum without one. */
class HintEstimator extends WorkEstimator {
	estimate({
		promptTokens,
		maximumTokens,
		hintedTokens,
	}: WorkFeatures): WorkEstimate {
		return exactEstimate(
			Math.min(maximumTokens, Math.max(1, hintedTokens ?? maximumTokens / 2)),
			promptTokens / promptTokensPerMillisecond,
			usualStepMilliseconds,
		);
	}

	observe(): void {
		// Nothing is learned.
	}

	usual(): UsualWork {
		return {meanMilliseconds: 800, remainingMilliseconds: 800};
	}

	resetModel(): void {
		// Nothing is learned.
	}
}

/** Knows the lengths of requests, the work that the targets have left and their slowdowns. */
class OracleScheduling extends WorkScheduling {
	constructor(
		options: ConstructorParameters<typeof WorkScheduling>[0],
		private readonly targets: ReadonlyMap<TargetId, TargetModel>,
		private readonly requestOf: (request: RequestId) => WorkloadRequest,
		private readonly knowsSlowdowns: boolean,
	) {
		super(options);
	}

	override estimate({request}: WorkItem): WorkEstimate {
		const {tokens, betweenTokensMilliseconds, stream} = this.requestOf(request);
		return exactEstimate(
			tokens * tokensPerEvent,
			stream!.promptMilliseconds,
			betweenTokensMilliseconds / tokensPerEvent,
		);
	}

	override describe(
		load: TargetLoad,
		item: WorkItem,
		estimate: WorkEstimate,
	): CandidateWork {
		const target = this.targets.get(load.target)!;
		const {running, queued} = target.report();
		const count = running + queued;
		return {
			remoteSpread: 0,
			remainingMilliseconds:
				count === 0 ? 0 : target.remainingMilliseconds() / count,
			slowdown: this.knowsSlowdowns
				? target.slowdown()
				: super.describe(load, item, estimate, 0).slowdown,
			promptMilliseconds: estimate.promptMilliseconds,
			milliseconds: estimate.milliseconds,
		};
	}
}

/** Knows the number of requests at each target. */
class OracleLoadTracker extends TargetLoadTracker {
	constructor(
		options: ConstructorParameters<typeof TargetLoadTracker>[0],
		private readonly targets: ReadonlyMap<TargetId, TargetModel>,
	) {
		super(options);
	}

	override loads(targets?: Iterable<TargetId>): TargetLoad[] {
		return super.loads(targets).map((load) => {
			const {running, queued} = this.targets.get(load.target)!.report();
			return {
				...load,
				remoteOutstanding: Math.max(
					0,
					running + queued - load.localOutstanding,
				),
				remoteConfidence: 1,
			};
		});
	}
}

/** The strategies that are compared. All use the dispatcher with the settings of the forwarding hosts. */
export function workStrategies(
	workload: readonly WorkloadRequest[],
): readonly Strategy[] {
	const withWork =
		(createWork: () => WorkScheduling): DispatcherChoice =>
		(...parameters) => ({
			...forwardingOptions(...parameters),
			work: createWork(),
		});
	return [
		{name: 'count', dispatcher: forwardingOptions},
		{
			name: 'hint alone',
			dispatcher: (timeline, ...rest) =>
				withWork(
					() =>
						new WorkScheduling({
							clock: timeline,
							estimator: new HintEstimator(),
							tokensPerEvent,
						}),
				)(timeline, ...rest),
		},
		{
			name: 'learned work',
			dispatcher: (timeline, ...rest) =>
				withWork(() => new WorkScheduling({clock: timeline, tokensPerEvent}))(
					timeline,
					...rest,
				),
		},
		...[false, true].map((knowsSlowdowns): Strategy => ({
			name: knowsSlowdowns ? 'oracle with slowdowns' : 'oracle of work',
			dispatcher(timeline, random, host, targets) {
				const models = new Map(targets.map((each) => [each.id, each]));
				return {
					...forwardingOptions(timeline, random, host, targets),
					loadTracker: new OracleLoadTracker({clock: timeline}, models),
					work: new OracleScheduling(
						{clock: timeline, tokensPerEvent},
						models,
						(request) => workload[Number(request)]!,
						knowsSlowdowns,
					),
				};
			},
		})),
	];
}

/** Settings of the dispatcher in a forwarding host. */
const forwardingOptions = (
	clock: Parameters<DispatcherChoice>[0],
	_random: Parameters<DispatcherChoice>[1],
	host: Parameters<DispatcherChoice>[2],
	_targets: Parameters<DispatcherChoice>[3],
): Partial<DispatcherOptions> => ({
	admissionPolicy: new AdmissionPolicy({
		clock,
		limiter: new CallerLimiter({clock}),
		maximumWaitShare: 1,
	}),
	lengthEstimator: new LengthEstimator({
		longThresholdTokens: Number.MAX_SAFE_INTEGER,
	}),
	slotPolicy: new SlotPolicy({host, longShare: 1, overcommitShare: 0}),
	outlierDetector: new OutlierDetector({clock, ejectionRatio: 4}),
	startLimiter: new StartLimiter({clock}),
	hedging: false,
});

function exactEstimate(
	tokens: number,
	promptMilliseconds: number,
	millisecondsPerToken: number,
): WorkEstimate {
	const milliseconds = promptMilliseconds + tokens * millisecondsPerToken;
	return {
		milliseconds,
		upperMilliseconds: milliseconds,
		promptMilliseconds,
		baseMilliseconds: 0,
		millisecondsPerToken,
		tokens,
		upperTokens: tokens,
		lengths: new LengthDistribution(Math.log(tokens), trustedSpread, Infinity),
	};
}
