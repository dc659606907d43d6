import {type Clock} from '../../base/common/clock.js';

/** What a host measured of itself in one interval. */
export type HostLoadSample = {
	readonly elapsedMilliseconds: number;
	/** Upper quantile of the delay of the event loop, or the longest wait of a request to be handled. */
	readonly delayMilliseconds: number;
	/** Processor time that the process has used. */
	readonly usedMilliseconds: number;
	/** Requests that the host began to handle. */
	readonly startedRequests: number;
	/** True if requests wait to be handled or were refused in the interval. */
	readonly hasUnmetDemand: boolean;
};

/** Change of the limit that a sample has caused. */
export type HostLimitChange = 'engaged' | 'released';

/** Collaborators and thresholds of the policy. */
export type HostLoadPolicyOptions = {
	readonly clock: Clock;
	/** Processor cores that the host may use. */
	readonly processorShare: number;
	/** Share of the objective that the event loop may be late by. The other half is for the target and the network. */
	readonly delayShare?: number;
	/** Share of the processor share from which a delay counts as lack of processor time. A delay below it comes from the machine, and less work would not end it. */
	readonly usedShare?: number;
	/** Samples in a row that engage the limit. A single one may be a stall of the machine or a collection of garbage. */
	readonly engagingSamples?: number;
	/** Time without waiting requests and with half of the permitted delay after which the limit ends. */
	readonly releaseMilliseconds?: number;
	/** Requests a second for which one core suffices on a slow machine, at 2 ms each. The lowest, the first and the next limit are parts of it. */
	readonly requestsPerCore?: number;
	/** Part of the above that a host takes in any case. */
	readonly minimumPart?: number;
	/** Part of the above at which the limit begins at least: the rate before it may have been low because connections were accepted first. */
	readonly initialPart?: number;
	/** Part of the limit after the last decrease, or of the above if that is more, that is added with each sample in time. */
	readonly increasePart?: number;
	/** Factor of an increase until the first decrease: the rate at which the limit began says little of the capacity. */
	readonly seekingFactor?: number;
	/** Factor of a decrease. */
	readonly decrease?: number;
	/** Time of requests at the limit that may be handled at once. */
	readonly burstMilliseconds?: number;
	/** Longest retry delay. Callers with a time limit of a few seconds do not come back later. */
	readonly maximumRetryMilliseconds?: number;
};

/** Objective of requests until a document states one. */
const defaultObjectiveMilliseconds = 300;

/**
 * Limits the requests that a host begins to handle each second while its processor does not suffice: additive increase
 * and multiplicative decrease against the delay of the event loop. There is no limit while the host uses less than
 * nearly all of its processor share or its event loop is in time.
 */
export class HostLoadPolicy {
	private readonly options: Required<HostLoadPolicyOptions>;
	private objective = defaultObjectiveMilliseconds;
	private limit = Number.POSITIVE_INFINITY;
	private lateSamples = 0;
	private inTimeSince: number | undefined;
	private mayDecrease = true;
	/** Requests a second that an increase adds, undefined until the first decrease. */
	private step: number | undefined;
	private tokens = 0;
	private tokensAt = 0;
	/** Time up to which room was promised to refused requests. */
	private promisedUntil = Number.NEGATIVE_INFINITY;
	private used = 0;
	private delay = 0;

	constructor(options: HostLoadPolicyOptions) {
		this.options = {
			delayShare: 0.5,
			usedShare: 0.8,
			engagingSamples: 2,
			releaseMilliseconds: 2000,
			requestsPerCore: 500,
			minimumPart: 0.2,
			initialPart: 0.5,
			increasePart: 0.05,
			seekingFactor: 1.25,
			decrease: 0.7,
			burstMilliseconds: 100,
			maximumRetryMilliseconds: 4000,
			...options,
		};
	}

	/** True while the host limits the requests that it handles. */
	get isLimited(): boolean {
		return this.limit !== Number.POSITIVE_INFINITY;
	}

	/** Requests that the host begins to handle each second, infinite without a limit. */
	get limitPerSecond(): number {
		return this.limit;
	}

	/** Shortest objective of the requests, to which the delay of the event loop is compared. */
	get objectiveMilliseconds(): number {
		return this.objective;
	}

	/** Share of the processor share that the host has used, and the delay of its event loop, by the last sample. */
	get measured(): {
		readonly usedShare: number;
		readonly delayMilliseconds: number;
	} {
		return {usedShare: this.used, delayMilliseconds: this.delay};
	}

	/** Sets the shortest objective of the requests. */
	setObjective(milliseconds: number): void {
		this.objective = milliseconds;
	}

	/** Takes a sample and adapts the limit. */
	record(sample: HostLoadSample): HostLimitChange | undefined {
		const {processorShare, delayShare, usedShare, engagingSamples} =
			this.options;
		const permitted = this.objective * delayShare;
		this.delay = sample.delayMilliseconds;
		this.used =
			sample.usedMilliseconds / (sample.elapsedMilliseconds * processorShare);
		const isLate = this.delay >= permitted && this.used >= usedShare;
		this.lateSamples = isLate ? this.lateSamples + 1 : 0;
		if (!this.isLimited) {
			return this.lateSamples >= engagingSamples
				? this.engage(sample)
				: undefined;
		}

		this.adapt(isLate, sample);
		return this.tryRelease(
			this.delay < permitted / 2 && !sample.hasUnmetDemand,
		);
	}

	/** Takes the room for one request, or returns false. */
	tryStart(): boolean {
		if (!this.isLimited) {
			return true;
		}

		const now = this.options.clock.monotonic();
		const capacity = Math.max(
			1,
			(this.limit * this.options.burstMilliseconds) / 1000,
		);
		this.tokens = Math.min(
			capacity,
			this.tokens + ((now - this.tokensAt) * this.limit) / 1000,
		);
		this.tokensAt = now;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}

	/** Time until there is room for a request with so many others before it. */
	waitMilliseconds(requestsAhead: number): number {
		return this.isLimited ? (requestsAhead * 1000) / this.limit : 0;
	}

	/** Retry delay of a refused request: the time at which the requests that wait and those refused before it have had room. */
	promiseRoom(waitingRequests: number): number {
		const {clock, maximumRetryMilliseconds} = this.options;
		const now = clock.monotonic();
		const earliest = now + this.waitMilliseconds(waitingRequests + 1);
		this.promisedUntil = Math.min(
			now + maximumRetryMilliseconds,
			Math.max(earliest, this.promisedUntil + this.waitMilliseconds(1)),
		);
		return this.promisedUntil - now;
	}

	private engage({
		startedRequests,
		elapsedMilliseconds,
	}: HostLoadSample): HostLimitChange {
		const {decrease, initialPart, clock} = this.options;
		this.limit = Math.max(
			this.usualPerSecond * initialPart,
			((startedRequests * 1000) / elapsedMilliseconds) * decrease,
		);
		this.tokens = 0;
		this.tokensAt = clock.monotonic();
		this.inTimeSince = undefined;
		this.mayDecrease = false;
		this.step = undefined;
		return 'engaged';
	}

	/** Requests a second for which the processor share suffices on a slow machine. */
	private get usualPerSecond(): number {
		return this.options.processorShare * this.options.requestsPerCore;
	}

	/** A sample after a decrease still shows work from before it, so it causes no further one. */
	private adapt(isLate: boolean, {hasUnmetDemand}: HostLoadSample): void {
		const {increasePart, seekingFactor, decrease, minimumPart} = this.options;
		if (!isLate) {
			this.mayDecrease = true;
			// Without unmet demand, a higher limit would not be used and says nothing of what the host can do.
			if (hasUnmetDemand) {
				this.limit =
					this.step === undefined
						? this.limit * seekingFactor
						: this.limit + this.step;
			}
		} else if (this.mayDecrease) {
			this.mayDecrease = false;
			this.limit = Math.max(
				this.usualPerSecond * minimumPart,
				this.limit * decrease,
			);
			this.step = Math.max(this.limit, this.usualPerSecond) * increasePart;
		} else {
			this.mayDecrease = true;
		}
	}

	private tryRelease(isInTime: boolean): HostLimitChange | undefined {
		const now = this.options.clock.monotonic();
		if (!isInTime) {
			this.inTimeSince = undefined;
			return undefined;
		}

		this.inTimeSince ??= now;
		if (now - this.inTimeSince < this.options.releaseMilliseconds) {
			return undefined;
		}

		this.limit = Number.POSITIVE_INFINITY;
		this.lateSamples = 0;
		return 'released';
	}
}
