import assert from 'node:assert/strict';
import {test} from 'node:test';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type RouteRule} from '../../src/contracts/forwarding-document.js';
import {
	type Fingerprint,
	type ModelId,
	type PoolName,
	type RequestId,
	type RouteName,
} from '../../src/contracts/ids.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {ForwardedRequest} from '../../src/services/forwarding/attempts/forwarded-request.js';
import {PeerResponse} from '../../src/services/forwarding/peers/peer-response.js';
import {StopAdmission} from '../../src/services/forwarding/limits/stop-admission.js';

/** Times of a stop of 8 s. */
const mustEndFromMilliseconds = 2700;
const endMilliseconds = 7750;
/** Time between two events of a target that is not slow. */
const gapMilliseconds = 60;
const largestEvents = 159;
const startMilliseconds = 100;
const tokensPerEvent = 4;

const clock = new ManualClock();
let lastRequest = 0;

function createRequest(
	events: number,
	change: Partial<RouteRule> = {},
): ForwardedRequest {
	lastRequest++;
	return new ForwardedRequest({
		key: `r#${lastRequest}` as RequestId,
		metadata: {
			id: 'r' as RequestId,
			keyDigest: undefined,
			model: 'm' as ModelId,
			adapter: undefined,
			promptTokens: 10,
			maximumTokens: events * tokensPerEvent,
			expectedTokens: undefined,
			prefixKeys: [],
			promptParts: [],
			remainingMilliseconds: 15_000,
			lastEventId: undefined,
			resumedRequest: undefined,
			forwardedHeaders: [],
		},
		route: {
			name: 'long' as RouteName,
			hostName: 'a.example',
			pathPrefix: '/long/',
			kind: 'stream',
			timeoutMilliseconds: 15_000,
			latencyObjectiveMilliseconds: 500,
			priority: 0,
			maximumExecutions: 1,
			isResumable: false,
			pools: [{pool: 'p' as PoolName, weight: 1}],
			...change,
		},
		method: 'POST',
		requestTarget: '/long/x',
		rawHeaders: [],
		body: Buffer.alloc(0),
		customer: undefined,
		fingerprint: 'f' as Fingerprint,
		response: new PeerResponse(),
		documentVersion: 1,
		forwardedBy: undefined,
		hasCallerLeft: () => false,
		arrivedAt: clock.monotonic(),
		codec: new PlatformRequestCodec(),
		clock,
		events: new NullEventLogger(),
		onFinished: () => undefined,
	});
}

/** Forwards all events of a stream at a pace and records it. */
function answer(
	admission: StopAdmission,
	events: number,
	slowdown: number,
): void {
	const request = createRequest(events);
	clock.advance(startMilliseconds);
	for (let id = 1; id <= events; id++) {
		clock.advance(id === 1 ? 0 : gapMilliseconds * slowdown);
		request.forwardEvents([{id, bytes: Buffer.from('e')}])._unsafeUnwrap();
	}

	admission.recordAnswer(request);
}

function beginStop(admission: StopAdmission): void {
	admission.begin({
		mustEndFrom: clock.monotonic() + mustEndFromMilliseconds,
		endsAt: clock.monotonic() + endMilliseconds,
	});
}

/** Draws lengths with a mean of 47 events and a heavy tail. */
function drawEvents(random: SeededRandomSource): number {
	return Math.min(
		largestEvents,
		Math.max(2, Math.round(47 * -Math.log(1 - random.next()))),
	);
}

// Guards against a host that knows a few short answers and takes a long stream for one of them.
test('a young host judges a stream by the tokens that it allows, not by the answers that it has seen', () => {
	const admission = new StopAdmission(clock);
	for (let count = 0; count < 3; count++) {
		answer(admission, 5, 1);
	}

	beginStop(admission);
	assert.equal(admission.canEnd(createRequest(largestEvents), []), false);
	clock.advance(mustEndFromMilliseconds + 500);
	assert.equal(admission.canEnd(createRequest(largestEvents), []), false);
});

// Guards against streams that a target slows down after they have begun where the end of the stop cuts them.
test('a stream begins late in a stop only if its deadline ends before, whether it may be resumed or not', () => {
	const admission = new StopAdmission(clock);
	for (let count = 0; count < 20; count++) {
		answer(admission, 5, 1);
	}

	beginStop(admission);
	clock.advance(mustEndFromMilliseconds);
	assert.equal(admission.canEnd(createRequest(5), []), false);
	const limited = createRequest(5, {timeoutMilliseconds: 3000});
	assert.equal(admission.canEnd(limited, []), true);
	assert.equal(
		admission.canEnd(createRequest(5, {isResumable: true}), []),
		false,
	);
	assert.equal(
		admission.canEnd(
			createRequest(5, {isResumable: true, timeoutMilliseconds: 3000}),
			[],
		),
		true,
	);
});

// Guards against a pace that is known from before a slowdown of the targets.
test('an open stream shows the present pace', () => {
	const admission = new StopAdmission(clock);
	for (let count = 0; count < 20; count++) {
		answer(admission, 40, 1);
	}

	beginStop(admission);
	const open = createRequest(40);
	for (let id = 1; id <= 10; id++) {
		clock.advance(gapMilliseconds * 4);
		open.forwardEvents([{id, bytes: Buffer.from('e')}])._unsafeUnwrap();
	}

	assert.equal(admission.canEnd(createRequest(40), []), true);
	assert.equal(admission.canEnd(createRequest(40), [open]), false);
});

type Mix = {
	begun: number;
	cut: number;
	/** Cut although they were sent where each request must end. */
	cutLate: number;
	refused: number;
	/** Refused although they would have ended in time. */
	refusedInVain: number;
};

/** Stops hosts of different ages with streams of very different length at targets of which a quarter is slow. */
function playMix(seed: number): Mix {
	const random = new SeededRandomSource(seed);
	const mix: Mix = {
		begun: 0,
		cut: 0,
		cutLate: 0,
		refused: 0,
		refusedInVain: 0,
	};
	const slowdown = () => (random.next() < 0.25 ? 2 + 6 * random.next() : 1);
	for (const known of [0, 2, 3, 20, 200]) {
		for (let stop = 0; stop < 20; stop++) {
			const admission = new StopAdmission(clock);
			for (let count = 0; count < known; count++) {
				answer(admission, drawEvents(random), slowdown());
			}

			beginStop(admission);
			const startedAt = clock.monotonic();
			for (let sent = 0; sent < 34; sent++) {
				const events = drawEvents(random);
				const elapsed = clock.monotonic() - startedAt;
				const end =
					elapsed +
					startMilliseconds +
					(events - 1) * gapMilliseconds * slowdown() +
					(random.next() < 0.1 ? 2800 * random.next() : 0);
				const isBegun = admission.canEnd(createRequest(events), []);
				const isInTime = end <= endMilliseconds;
				mix.begun += isBegun ? 1 : 0;
				mix.cut += isBegun && !isInTime ? 1 : 0;
				mix.cutLate +=
					isBegun && !isInTime && elapsed >= mustEndFromMilliseconds ? 1 : 0;
				mix.refused += isBegun ? 0 : 1;
				mix.refusedInVain += !isBegun && isInTime ? 1 : 0;
				clock.advance(100);
			}
		}
	}

	return mix;
}

// Guards against both losses of a stop: streams that are begun and cut, and streams that are refused in vain.
test('of a mix of streams none is cut that was sent where it must end, and few are cut at all', (context) => {
	for (const seed of [1, 2, 3, 4, 5]) {
		const mix = playMix(seed);
		context.diagnostic(JSON.stringify({seed, ...mix}));
		assert.equal(mix.cutLate, 0);
		// A refused caller loses one attempt, a cut one its whole answer and seconds.
		assert.ok(mix.cut <= mix.refused / 20, JSON.stringify(mix));
		assert.ok(mix.begun > 0);
	}
});
