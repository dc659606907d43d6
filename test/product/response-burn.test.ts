import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type RouteName} from '../../src/contracts/ids.js';
import {
	ResponseBurnTracker,
	formatResponseBurn,
	judgeResponse,
	type LoggedResponse,
} from '../../src/core/burn/response-burn.js';

const objectives = {
	attainment: 0.9,
	maximumMilliseconds: 400,
	maximumGapMilliseconds: 150,
};

function response(change: Partial<LoggedResponse>): LoggedResponse {
	return {
		route: 'r' as RouteName,
		time: 0,
		outcome: 'complete',
		milliseconds: 100,
		largestGapMilliseconds: 0,
		...change,
	};
}

// Guards against a report that counts failures caused by callers or omits responses that were too late.
test('responses are classified by their outcome and latency', () => {
	const cases: Array<[Partial<LoggedResponse>, string]> = [
		[{}, 'good'],
		[{milliseconds: 9000}, 'good'],
		[{largestGapMilliseconds: 151}, 'bad'],
		[{outcome: 'status 200'}, 'good'],
		[{outcome: 'status 200', milliseconds: 401}, 'bad'],
		[{outcome: 'status 404'}, 'excluded'],
		[{outcome: 'status 500'}, 'bad'],
		[{outcome: 'caller left'}, 'excluded'],
		[{outcome: 'own 503: overload'}, 'bad'],
		[{outcome: 'broken: the stream broke'}, 'bad'],
	];
	for (const [change, expected] of cases) {
		assert.equal(
			judgeResponse(response(change), objectives),
			expected,
			JSON.stringify(change),
		);
	}
});

// Guards against a burn rate that depends on the order of the logs.
test('the report sums all logs and shows a short spike', () => {
	const burn = new ResponseBurnTracker(objectives, 1000);
	for (let index = 0; index < 10; index++) {
		burn.add(response({time: 2500}));
		burn.add(
			response({time: 500, outcome: index < 5 ? 'own 503' : 'complete'}),
		);
	}

	burn.add(response({route: 'quiet' as RouteName, time: 1500}));
	const [worst, quiet] = burn.report();
	assert.equal(worst?.route, 'r');
	assert.deepEqual(worst.counts, {good: 15, bad: 5, excluded: 0});
	assert.ok(Math.abs(worst.burnRate - 2.5) < 1e-9);
	assert.deepEqual(
		worst.series.map((step) => Math.round(step.burnRate)),
		[5, 0, 0],
	);
	assert.equal(quiet?.burnRate, 0);
	assert.match(formatResponseBurn(burn.report()), /\|█ {2}\|/);
});
