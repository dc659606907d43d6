import {type Clock} from '../../base/common/clock.js';
import {AnswerTimes} from '../../core/answer-times.js';
import {
	deadlineGraceMilliseconds,
	type ForwardedRequest,
} from './forwarded-request.js';

/** Time for which a target may be silent, as during a long garbage collection, without its answer being cut by the end of the stop. */
const silenceMilliseconds = 1000;

/** Deviations above the average within which most answers end, for requests that a caller can repeat. */
const usualDeviations = 2;
/** Deviations above the average within which nearly all answers end, for requests that may not be repeated. */
const safeDeviations = 4;

/** Decides which requests a stopping host still begins: those whose answers end before the host does. */
export class StopAdmission {
	private readonly times = new AnswerTimes();
	/** Monotonic time at which open requests are ended, infinite before the stop. */
	private endsAt = Number.POSITIVE_INFINITY;

	constructor(private readonly clock: Clock) {}

	/** Begins the stop, which ends at a monotonic time. */
	begin(endsAt: number): void {
		this.endsAt = endsAt;
	}

	/** Records that a request was answered completely. */
	recordAnswer(request: ForwardedRequest): void {
		const elapsed = this.ageOf(request);
		for (const key of keysOf(request)) {
			this.times.record(key, elapsed);
		}
	}

	/** True when the answer to a request that is sent now ends in time: at its deadline, or within the time that such requests take at present, a silence of the target included. */
	canEnd(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): boolean {
		const left = this.endsAt - this.clock.monotonic();
		if (request.remainingMilliseconds() + deadlineGraceMilliseconds <= left) {
			return true;
		}

		const present = this.presentMilliseconds(request, openRequests);
		return present !== undefined && present + silenceMilliseconds <= left;
	}

	/** Usual time of an answer, at least the age of the oldest open request of the kind, which shows a delay that no answer shows yet. */
	private presentMilliseconds(
		request: ForwardedRequest,
		openRequests: Iterable<ForwardedRequest>,
	): number | undefined {
		const [key] = keysOf(request);
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

		let present = usual;
		for (const open of openRequests) {
			if (keysOf(open)[0] === key) {
				present = Math.max(present, this.ageOf(open));
			}
		}

		return present;
	}

	private ageOf({options}: ForwardedRequest): number {
		return this.clock.monotonic() - options.arrivedAt;
	}
}

/** Requests with the same route and model take similar times; those of the route stand in for a model without an answer. */
function keysOf({route, metadata}: ForwardedRequest): readonly string[] {
	return [`${route.name}\n${metadata.model ?? ''}`, route.name];
}
