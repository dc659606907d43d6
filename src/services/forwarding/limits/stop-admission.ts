import {type Clock} from '../../../base/common/clock.js';
import {AnswerTimes} from '../../../core/burn/answer-times.js';
import {
	type PresentStreams,
	StreamTimes,
} from '../../../core/streams/stream-times.js';
import {
	deadlineGraceMilliseconds,
	type ForwardedRequest,
} from '../attempts/forwarded-request.js';

/** Monotonic times of a planned stop. */
export type StopTimes = {
	/** From here on, a request that is begun must end in time. A stream that is begun before and is longer than the stop is a loss as well, but its caller sent it to a host that it could not know to be stopping. */
	readonly mustEndFrom: number;
	/** Open requests are ended here. */
	readonly endsAt: number;
};

/** Time for which a target may be silent, as during a long garbage collection, without its answer being cut by the end of the stop. */
const silenceMilliseconds = 1000;
/** The same for requests that must end. Targets fall silent for up to three seconds and go on. */
const longSilenceMilliseconds = 3000;

/** Deviations above the average within which most answers end, for requests that a caller can repeat. */
const usualDeviations = 2;
/** Deviations above the average within which nearly all answers end, for requests that may not be repeated. */
const safeDeviations = 4;
/** Events from which the average time between two of them shows the pace of an open stream. */
const minimumPaceEvents = 8;

/** Decides which requests a stopping host still begins: those whose answers end before the host does. */
export class StopAdmission {
	private readonly times = new AnswerTimes();
	private readonly streams = new StreamTimes();
	private stop: StopTimes = {
		mustEndFrom: Number.POSITIVE_INFINITY,
		endsAt: Number.POSITIVE_INFINITY,
	};

	constructor(private readonly clock: Clock) {}

	/** Begins the stop. */
	begin(stop: StopTimes): void {
		this.stop = stop;
	}

	/** Records that a request was answered completely. */
	recordAnswer(request: ForwardedRequest): void {
		const {route, metadata, options, firstEventAt, lastEventAt} = request;
		for (const key of keysOf(request)) {
			this.times.record(key, request.ageMilliseconds);
			// The rest of a stream says little about the events of a whole one.
			if (
				route.kind === 'stream' &&
				metadata.lastEventId === undefined &&
				firstEventAt !== undefined &&
				lastEventAt !== undefined
			) {
				this.streams.record(key, {
					startMilliseconds: firstEventAt - options.arrivedAt,
					eventsMilliseconds: lastEventAt - firstEventAt,
					events: request.eventCount,
					maximumTokens: metadata.maximumTokens,
				});
			}
		}
	}

	/**
	 * True when the answer to a request that is sent now ends in time: at its deadline, or within the time that it takes
	 * at most at present, a silence of the target included. A stream that may not be resumed is judged by the largest
	 * answer that it allows. No stream is begun by such an estimate where it must end: its target may become many times
	 * slower at any moment.
	 */
	canEnd(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): boolean {
		const now = this.clock.monotonic();
		const left = this.stop.endsAt - now;
		if (request.remainingMilliseconds() + deadlineGraceMilliseconds <= left) {
			return true;
		}

		const {route, isRepeatable, metadata} = request;
		const isStream = route.kind === 'stream';
		const mustEnd = now >= this.stop.mustEndFrom;
		if (mustEnd && isStream) {
			return false;
		}

		const isBounded = isStream && metadata.maximumTokens > 0 && !isRepeatable;
		const present = isBounded
			? this.largestMilliseconds(request, openRequests)
			: this.usualMilliseconds(request, openRequests);
		const silence = mustEnd ? longSilenceMilliseconds : silenceMilliseconds;
		return present !== undefined && present + silence <= left;
	}

	/** Usual time of an answer, at least the age of the oldest open request of the kind, which shows a delay that no answer shows yet. */
	private usualMilliseconds(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): number | undefined {
		const usual = keysOf(request)
			.map((each) =>
				this.times.usualMilliseconds(
					each,
					request.isRepeatable ? usualDeviations : safeDeviations,
				),
			)
			.find((each) => each !== undefined);
		if (usual === undefined) {
			return undefined;
		}

		return Math.max(
			usual,
			...openOfKind(request, openRequests).map((open) => open.ageMilliseconds),
		);
	}

	/** Time of the largest answer that the request allows. */
	private largestMilliseconds(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): number | undefined {
		const present = this.presentStreams(request, openRequests);
		return keysOf(request)
			.map((key) =>
				this.streams.largestMilliseconds(
					key,
					request.metadata.maximumTokens,
					present,
				),
			)
			.find((each) => each !== undefined);
	}

	private presentStreams(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): PresentStreams {
		const now = this.clock.monotonic();
		let startMilliseconds = 0;
		let gapMilliseconds = 0;
		for (const open of openOfKind(request, openRequests)) {
			const {firstEventAt, eventCount, ageMilliseconds} = open;
			if (firstEventAt === undefined) {
				startMilliseconds = Math.max(startMilliseconds, ageMilliseconds);
			} else if (eventCount >= minimumPaceEvents) {
				gapMilliseconds = Math.max(
					gapMilliseconds,
					(now - firstEventAt) / eventCount,
				);
			}
		}

		return {startMilliseconds, gapMilliseconds};
	}
}

/** The other open requests with the same route and model. */
function openOfKind(
	request: ForwardedRequest,
	openRequests: Iterable<ForwardedRequest>,
): ForwardedRequest[] {
	const [key] = keysOf(request);
	return [...openRequests].filter(
		(open) => open !== request && keysOf(open)[0] === key,
	);
}

/** Requests with the same route and model take similar times; those of the route stand in for a model without an answer. */
function keysOf({route, metadata}: ForwardedRequest): readonly string[] {
	return [`${route.name}\n${metadata.model ?? ''}`, route.name];
}
