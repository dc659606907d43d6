import {type RandomSource} from '../base/common/random-source.js';
import {
	type CallerId,
	type ModelId,
	type OfferingName,
} from '../contracts/ids.js';
import {type Urgency} from '../core/fairness/dispatch-queue.js';
import {type Slowdown} from './target-model.js';
import {arrivals, logNormal, type WorkloadRequest} from './workload.js';

/** One kind of request of a deployment. */
export type StreamKind = {
	readonly name: string;
	readonly urgency: Urgency;
	readonly sharedTokens: number;
	/** Mean number of prompt tokens that belong to the request alone. */
	readonly ownTokens: number;
	/** Mean number of events. */
	readonly events: number;
	readonly perSecond: number;
	readonly objectiveMilliseconds: number;
	readonly deadlineMilliseconds: number;
	/** True for traffic that is spread over rarely requested models. */
	readonly isRare: boolean;
};

/** Shape of a deployment, from section 1.1 of docs/design/hard-load.md. */
export type Deployment = {
	readonly name: string;
	readonly hosts: number;
	readonly targets: number;
	readonly slots: number;
	readonly stepMilliseconds: number;
	readonly modelsPerTarget: number;
	readonly liveModels: number;
	readonly rareModels: number;
	readonly kinds: readonly StreamKind[];
};

const label = {
	sharedTokens: 92,
	ownTokens: 291,
	events: 5,
	deadlineMilliseconds: 4000,
	isRare: false,
};
const summary = {
	sharedTokens: 172,
	ownTokens: 543,
	events: 31,
	isRare: false,
};

/** The engine pools of both deployments. */
export const deployments: readonly Deployment[] = [
	{
		name: 'A',
		hosts: 24,
		targets: 78,
		slots: 12,
		stepMilliseconds: 5.23,
		modelsPerTarget: 2,
		liveModels: 30,
		rareModels: 56,
		kinds: [
			{
				...label,
				name: 'label',
				urgency: 'urgent',
				perSecond: 293,
				objectiveMilliseconds: 300,
			},
			{
				...summary,
				name: 'live summary',
				urgency: 'standard',
				perSecond: 241,
				objectiveMilliseconds: 400,
				deadlineMilliseconds: 10_000,
			},
			{
				...summary,
				name: 'digest',
				urgency: 'deferred',
				perSecond: 33.5,
				objectiveMilliseconds: 3000,
				deadlineMilliseconds: 15_000,
				isRare: true,
			},
		],
	},
	{
		name: 'B',
		hosts: 67,
		targets: 42,
		slots: 24,
		stepMilliseconds: 4.73,
		modelsPerTarget: 3,
		liveModels: 24,
		rareModels: 36,
		kinds: [
			{
				...summary,
				name: 'live draft',
				urgency: 'urgent',
				perSecond: 197,
				objectiveMilliseconds: 400,
				deadlineMilliseconds: 10_000,
			},
			{
				...label,
				name: 'short summary',
				urgency: 'standard',
				perSecond: 205,
				objectiveMilliseconds: 1200,
			},
			{
				...summary,
				name: 'batch',
				urgency: 'deferred',
				perSecond: 47.3,
				objectiveMilliseconds: 3000,
				deadlineMilliseconds: 12_000,
				isRare: true,
			},
		],
	},
];

/** Tokens that one event holds. */
export const tokensPerEvent = 9;
const maximumEvents = 106;
const maximumPromptTokens = 2310;
const promptTokensPerMillisecond = 38.4;
/** Spread of the logarithm of prompt lengths and of numbers of events, within the 0.9 to 1.6 of section 1.1. */
const logSpread = 1.1;
/** Time after which callers no longer wait for the first event. */
const startTimeoutMilliseconds = 2000;
/** Hints: right at the median with this spread of the logarithm, one in ten off by far, and one in ten missing. */
const hintSpread = 0.5;
const wildHintSpread = 2;
const slowFactor = 2.5;
const slowMilliseconds = 600;
const slowShare = 0.15;

/** Draws the requests of a deployment with a factor on all rates. */
export function drawWorkload(
	random: RandomSource,
	deployment: Deployment,
	until: number,
	rateFactor: (time: number) => number,
	peak: number,
): WorkloadRequest[] {
	const requests = deployment.kinds.flatMap((kind) => {
		const rate = kind.perSecond / 1000;
		return arrivals(
			random,
			until,
			(time) => rate * rateFactor(time),
			rate * peak,
		).map((arrival) => drawRequest(random, deployment, kind, arrival));
	});
	return requests.sort((left, right) => left.arrival - right.arrival);
}

/** Assigns the models to targets: rare ones to one each, live ones in proportion to their demand. */
export function placeModels(
	random: RandomSource,
	{targets, modelsPerTarget, liveModels, rareModels}: Deployment,
): ReadonlyMap<ModelId, readonly number[]> {
	const free = Array.from({length: targets}, () => modelsPerTarget);
	const placed = new Map<ModelId, number[]>();
	const place = (model: ModelId) => {
		const holders = placed.get(model) ?? [];
		const open = [...free.entries()].filter(
			([target, count]) => count > 0 && !holders.includes(target),
		);
		const most = Math.max(...open.map(([, count]) => count));
		const best = open.filter(([, count]) => count === most);
		const chosen = best[random.integer(best.length)];
		if (chosen) {
			free[chosen[0]]!--;
			placed.set(model, [...holders, chosen[0]]);
		}
	};

	const weights = Array.from({length: liveModels}, (_, index) =>
		liveWeight(index),
	);
	const total = weights.reduce((sum, each) => sum + each, 0);
	const liveSlots = targets * modelsPerTarget - rareModels;
	for (const [index, weight] of weights.entries()) {
		const copies = Math.max(2, Math.floor((weight / total) * liveSlots));
		for (let copy = 0; copy < Math.min(copies, targets); copy++) {
			place(`live-${index}` as ModelId);
		}
	}

	for (let index = 0; index < rareModels; index++) {
		place(`rare-${index}` as ModelId);
	}

	return placed;
}

/** Draws periods in which a target is slow, such that 15% of the targets are at any time. */
export function drawSlowdowns(
	random: RandomSource,
	targets: number,
	until: number,
): Map<number, Slowdown[]> {
	const pause = slowMilliseconds * (1 / slowShare - 1);
	const slowdowns = new Map<number, Slowdown[]>();
	for (let index = 0; index < targets; index++) {
		const periods: Slowdown[] = [];
		let time = -Math.log(1 - random.next()) * pause;
		while (time < until) {
			const to = time + slowMilliseconds * (0.5 + random.next());
			periods.push({from: time, to, factor: slowFactor});
			time = to - Math.log(1 - random.next()) * pause;
		}

		slowdowns.set(index, periods);
	}

	return slowdowns;
}

function drawRequest(
	random: RandomSource,
	deployment: Deployment,
	kind: StreamKind,
	arrival: number,
): WorkloadRequest {
	const toMedian = Math.exp(-(logSpread ** 2) / 2);
	const events = Math.round(
		Math.min(
			maximumEvents,
			Math.max(1, logNormal(random, kind.events * toMedian, logSpread)),
		),
	);
	const ownTokens = Math.min(
		maximumPromptTokens - kind.sharedTokens,
		Math.max(1, logNormal(random, kind.ownTokens * toMedian, logSpread)),
	);
	const model = kind.isRare
		? (`rare-${random.integer(deployment.rareModels)}` as ModelId)
		: drawLiveModel(random, deployment.liveModels);
	const promptMilliseconds = ownTokens / promptTokensPerMillisecond;
	const stepMilliseconds =
		deployment.stepMilliseconds * logNormal(random, 1, 0.05);
	const tokens = events * tokensPerEvent;
	const hint = random.next();
	return {
		arrival,
		caller: 'any' as CallerId,
		offering: kind.name as OfferingName,
		urgency: kind.urgency,
		promptCharacters: 0,
		tokens: events,
		firstTokenMilliseconds:
			promptMilliseconds + tokensPerEvent * stepMilliseconds,
		betweenTokensMilliseconds: tokensPerEvent * stepMilliseconds,
		deadlineMilliseconds: kind.deadlineMilliseconds,
		label: kind.name,
		host: random.integer(deployment.hosts),
		stream: {
			model,
			promptTokens: Math.round(kind.sharedTokens + ownTokens),
			maximumTokens: maximumEvents * tokensPerEvent,
			hintedTokens:
				hint < 0.1
					? undefined
					: Math.round(
							logNormal(
								random,
								tokens,
								hint < 0.2 ? wildHintSpread : hintSpread,
							),
						),
			prefixes: [`own-${arrival}`, `shared-${kind.name}-${model}`],
			promptMilliseconds,
			objectiveMilliseconds: kind.objectiveMilliseconds,
			startTimeoutMilliseconds,
		},
	};
}

function drawLiveModel(random: RandomSource, count: number): ModelId {
	const weights = Array.from({length: count}, (_, index) => liveWeight(index));
	let draw = random.next() * weights.reduce((sum, each) => sum + each, 0);
	const index = weights.findIndex((weight) => {
		draw -= weight;
		return draw < 0;
	});
	return `live-${Math.max(0, index)}` as ModelId;
}

function liveWeight(index: number): number {
	return 1 / (index + 4);
}
