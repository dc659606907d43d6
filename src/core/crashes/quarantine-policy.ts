import {
	type Fingerprint,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type SuspicionReport} from '../../contracts/suspicion-report.js';

/** Status of a fingerprint: `clear` may run anywhere, `suspect` only in isolation, `quarantined` not at all. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Settings of the policy. */
export type QuarantinePolicyOptions = {
	/** Distinct target deaths after which a fingerprint is quarantined. */
	readonly deathsToQuarantine: number;
	/** Time after the last death for which a fingerprint stays suspect or quarantined. */
	readonly durationMilliseconds: number;
	/** Maximum number of fingerprints tracked. Those without a recent death are evicted first. */
	readonly maximumFingerprints: number;
	/** Deaths within this time of each other count as one, because they rather have a common cause than a request each. None by default. */
	readonly commonCauseMilliseconds?: number;
};

/** Production settings. One death is not enough, because unrelated requests share the target; a second one, during an isolated retry, is. */
export const defaultQuarantinePolicyOptions: QuarantinePolicyOptions = {
	deathsToQuarantine: 2,
	durationMilliseconds: 600_000,
	maximumFingerprints: 10_000,
};

/** A target incarnation that ended while requests were in flight on it. */
export type TargetDeath = {
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
	/** Fingerprints of the requests in flight. */
	readonly fingerprints: readonly Fingerprint[];
};

type Suspicion = {
	/** Time of each death, by target and incarnation. */
	readonly deaths: Map<string, number>;
	lastDeathAt: number;
	/** Time of the last complete answer that this process knows of. */
	answeredAt: number;
	trials: number;
	triedAt: number;
	/** Revision of the policy at the last change. */
	revision: number;
};

/** Time for which a complete answer vouches for a fingerprint: a death within it has another cause. */
const soundMilliseconds = 60_000;
/** Maximum number of fingerprints whose last complete answer is kept. The least recently answered are evicted first. */
const maximumAnsweredFingerprints = 20_000;
/** Times of other hosts are as inexact as the messages that carry them are slow. A smaller difference is no change. */
const clockToleranceMilliseconds = 5000;
/** Share of the fingerprints that an eviction keeps. */
const retainedShare = 0.9;
/** Time without a death after which a quarantined fingerprint is tried for the first time. */
const firstTrialDelayMilliseconds = 8000;
/** Factor by which each trial increases the time until the next one. A trial of a harmful fingerprint costs a target. */
const trialDelayFactor = 6;

/** Finds what requests that crash targets have in common. All times are monotonic milliseconds. */
export class QuarantinePolicy {
	/** In the order of their last change. */
	private readonly suspicions = new Map<Fingerprint, Suspicion>();
	/** Time of the last complete answer, in ascending order. */
	private readonly answeredAt = new Map<Fingerprint, number>();
	private currentRevision = 0;

	constructor(
		private readonly options: QuarantinePolicyOptions = defaultQuarantinePolicyOptions,
	) {}

	/** Number of fingerprints tracked, including expired ones. */
	get size(): number {
		return this.suspicions.size;
	}

	/** Increases with each change that other hosts should know. */
	get revision(): number {
		return this.currentRevision;
	}

	/** Applies a death and returns the fingerprints that it quarantines. The same death reported by several hosts counts once. */
	applyDeath(death: TargetDeath, now: number): Fingerprint[] {
		const key = `${death.target}\n${death.targetIncarnation}`;
		return death.fingerprints.filter((fingerprint) =>
			this.isQuarantinedAfter(fingerprint, now, () => {
				const suspicion = this.suspicionOf(fingerprint, now);
				if (addDeath(suspicion, key, now)) {
					this.markChanged(fingerprint, suspicion);
				}
			}),
		);
	}

	/** Applies what another host knows and returns the fingerprints that it quarantines. */
	merge(reports: readonly SuspicionReport[], now: number): Fingerprint[] {
		return reports
			.filter((report) =>
				this.isQuarantinedAfter(report.fingerprint, now, () => {
					this.mergeReport(report, now);
				}),
			)
			.map(({fingerprint}) => fingerprint);
	}

	/** Returns what has changed since a revision, in the order of the changes, and the revision up to which that goes. */
	changesSince(
		revision: number,
		now: number,
		{minimumDeaths, limit}: {minimumDeaths: number; limit: number},
	): {
		readonly reports: readonly SuspicionReport[];
		readonly revision: number;
	} {
		const reports: SuspicionReport[] = [];
		for (const [fingerprint, suspicion] of this.suspicions) {
			if (
				suspicion.revision <= revision ||
				suspicion.deaths.size < minimumDeaths ||
				this.isExpired(suspicion, now)
			) {
				continue;
			}

			if (reports.length === limit) {
				return {reports, revision: suspicion.revision - 1};
			}

			reports.push(toReport(fingerprint, suspicion, now));
		}

		return {reports, revision: this.currentRevision};
	}

	/** Targets and incarnations that died under a fingerprint. */
	deathsOf(fingerprint: Fingerprint): string[] {
		return [...(this.suspicions.get(fingerprint)?.deaths.keys() ?? [])];
	}

	/** Reports on all quarantined fingerprints. */
	quarantined(now: number): readonly SuspicionReport[] {
		return [...this.suspicions]
			.filter(
				([fingerprint]) => this.status(fingerprint, now) === 'quarantined',
			)
			.map(([fingerprint, suspicion]) => toReport(fingerprint, suspicion, now));
	}

	/** Returns the status of a fingerprint at the given time. */
	status(fingerprint: Fingerprint, now: number): QuarantineStatus {
		const suspicion = this.suspicions.get(fingerprint);
		if (!suspicion || this.isExpired(suspicion, now)) {
			return 'clear';
		}

		const deaths = this.countUnexplainedDeaths(suspicion);
		if (deaths === 0) {
			return 'clear';
		}

		return deaths >= this.options.deathsToQuarantine
			? 'quarantined'
			: 'suspect';
	}

	/** Milliseconds until the suspicion against a fingerprint expires; 0 without one. */
	remainingMilliseconds(fingerprint: Fingerprint, now: number): number {
		const suspicion = this.suspicions.get(fingerprint);
		return suspicion
			? Math.max(
					0,
					suspicion.lastDeathAt + this.options.durationMilliseconds - now,
				)
			: 0;
	}

	/** Clears a suspect fingerprint whose request has completed. A quarantined one stays quarantined. */
	clear(fingerprint: Fingerprint, now: number): void {
		if (this.status(fingerprint, now) === 'suspect') {
			this.suspicions.delete(fingerprint);
		}
	}

	/**
	 * Records that a request was answered completely, which vouches for all its fingerprints. Returns those that were
	 * suspect or quarantined until then.
	 */
	recordAnswer(
		fingerprints: Iterable<Fingerprint>,
		now: number,
	): Fingerprint[] {
		const cleared: Fingerprint[] = [];
		for (const fingerprint of fingerprints) {
			this.answeredAt.delete(fingerprint);
			this.answeredAt.set(fingerprint, now);
			const suspicion = this.suspicions.get(fingerprint);
			if (!suspicion) {
				continue;
			}

			if (this.status(fingerprint, now) !== 'clear') {
				cleared.push(fingerprint);
				suspicion.answeredAt = now;
				this.markChanged(fingerprint, suspicion);
			} else if (applyAnswer(suspicion, now)) {
				this.markChanged(fingerprint, suspicion);
			}
		}

		for (const fingerprint of this.answeredAt.keys()) {
			if (this.answeredAt.size <= maximumAnsweredFingerprints) {
				break;
			}

			this.answeredAt.delete(fingerprint);
		}

		return cleared;
	}

	/** Fingerprints under suspicion of which this process itself has seen a complete answer not long ago. */
	soundSuspicions(now: number): Fingerprint[] {
		return [...this.suspicions.keys()].filter(
			(fingerprint) =>
				now - (this.answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY) <
				soundMilliseconds,
		);
	}

	/** Applies that another host has seen complete answers. */
	applySoundness(fingerprints: Iterable<Fingerprint>, now: number): void {
		for (const fingerprint of fingerprints) {
			const suspicion = this.suspicions.get(fingerprint);
			if (suspicion && applyAnswer(suspicion, now)) {
				this.markChanged(fingerprint, suspicion);
			}
		}
	}

	/** True when a request with the fingerprint was answered completely not long ago. */
	isSound(fingerprint: Fingerprint, now: number): boolean {
		const answeredAt = Math.max(
			this.answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY,
			this.suspicions.get(fingerprint)?.answeredAt ?? Number.NEGATIVE_INFINITY,
		);
		return now - answeredAt < soundMilliseconds;
	}

	/** Returns true when one request with a quarantined fingerprint should be sent now, to find out whether it still crashes targets. */
	tryTrial(fingerprint: Fingerprint, now: number): boolean {
		const suspicion = this.suspicions.get(fingerprint);
		if (!suspicion) {
			return true;
		}

		const delay =
			firstTrialDelayMilliseconds * trialDelayFactor ** suspicion.trials;
		if (now - Math.max(suspicion.lastDeathAt, suspicion.triedAt) < delay) {
			return false;
		}

		suspicion.trials++;
		suspicion.triedAt = now;
		this.markChanged(fingerprint, suspicion);
		return true;
	}

	/** Applies a change and returns true when it quarantines the fingerprint. */
	private isQuarantinedAfter(
		fingerprint: Fingerprint,
		now: number,
		change: () => void,
	): boolean {
		const previousStatus = this.status(fingerprint, now);
		change();
		this.evictOldest(now);
		return (
			previousStatus !== 'quarantined' &&
			this.status(fingerprint, now) === 'quarantined'
		);
	}

	private mergeReport(report: SuspicionReport, now: number): void {
		const {fingerprint, deaths, answeredMillisecondsAgo, trials} = report;
		const isKnown = this.suspicions.has(fingerprint);
		const suspicion = this.suspicionOf(fingerprint, now);
		let isChanged = !isKnown;
		for (const {key, ageMilliseconds} of deaths) {
			isChanged = addDeath(suspicion, key, now - ageMilliseconds) || isChanged;
		}

		if (
			answeredMillisecondsAgo !== undefined &&
			applyAnswer(suspicion, now - answeredMillisecondsAgo)
		) {
			isChanged = true;
		}

		if (trials > suspicion.trials) {
			suspicion.trials = trials;
			suspicion.triedAt = now - (report.triedMillisecondsAgo ?? 0);
			isChanged = true;
		}

		if (isChanged) {
			this.markChanged(fingerprint, suspicion);
		}
	}

	private suspicionOf(fingerprint: Fingerprint, now: number): Suspicion {
		const existing = this.suspicions.get(fingerprint);
		if (existing && !this.isExpired(existing, now)) {
			return existing;
		}

		const created: Suspicion = {
			deaths: new Map(),
			lastDeathAt: now,
			answeredAt: this.answeredAt.get(fingerprint) ?? Number.NEGATIVE_INFINITY,
			trials: 0,
			triedAt: Number.NEGATIVE_INFINITY,
			revision: 0,
		};
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, created);
		return created;
	}

	private markChanged(fingerprint: Fingerprint, suspicion: Suspicion): void {
		this.currentRevision++;
		suspicion.revision = this.currentRevision;
		this.suspicions.delete(fingerprint);
		this.suspicions.set(fingerprint, suspicion);
	}

	/** Number of deaths that no complete answer speaks against, with those of a common cause counted once. */
	private countUnexplainedDeaths({deaths, answeredAt}: Suspicion): number {
		const times = [...deaths.values()]
			.filter((at) => at > answeredAt + soundMilliseconds)
			.sort((left, right) => left - right);
		const {commonCauseMilliseconds} = this.options;
		if (commonCauseMilliseconds === undefined) {
			return times.length;
		}

		let count = 0;
		let groupStart = Number.NEGATIVE_INFINITY;
		for (const at of times) {
			if (at - groupStart > commonCauseMilliseconds) {
				count++;
				groupStart = at;
			}
		}

		return count;
	}

	private isExpired(suspicion: Suspicion, now: number): boolean {
		return now - suspicion.lastDeathAt > this.options.durationMilliseconds;
	}

	/** Evicts what changed least recently, quarantined fingerprints last. Makes room for several, because it sorts them all. */
	private evictOldest(now: number): void {
		const {maximumFingerprints} = this.options;
		if (this.suspicions.size <= maximumFingerprints) {
			return;
		}

		const excess =
			this.suspicions.size - Math.ceil(maximumFingerprints * retainedShare);
		const candidates = [...this.suspicions.keys()].sort(
			(left, right) =>
				Number(this.status(left, now) === 'quarantined') -
				Number(this.status(right, now) === 'quarantined'),
		);
		for (const fingerprint of candidates.slice(0, excess)) {
			this.suspicions.delete(fingerprint);
		}
	}
}

/** Returns false for a death that is known. */
function addDeath(suspicion: Suspicion, key: string, at: number): boolean {
	if (suspicion.deaths.has(key)) {
		return false;
	}

	suspicion.deaths.set(key, at);
	suspicion.lastDeathAt = Math.max(suspicion.lastDeathAt, at);
	return true;
}

/** Returns false for an answer that is not much newer than the last known one. */
function applyAnswer(suspicion: Suspicion, at: number): boolean {
	if (at <= suspicion.answeredAt + clockToleranceMilliseconds) {
		return false;
	}

	suspicion.answeredAt = at;
	return true;
}

function toReport(
	fingerprint: Fingerprint,
	{deaths, answeredAt, trials, triedAt}: Suspicion,
	now: number,
): SuspicionReport {
	return {
		fingerprint,
		deaths: [...deaths].map(([key, at]) => ({key, ageMilliseconds: now - at})),
		answeredMillisecondsAgo: Number.isFinite(answeredAt)
			? now - answeredAt
			: undefined,
		trials,
		triedMillisecondsAgo: Number.isFinite(triedAt) ? now - triedAt : undefined,
	};
}
