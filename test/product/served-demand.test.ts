import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type AdapterId, type ModelId} from '../../src/contracts/ids.js';
import {
	formatServedDemand,
	ServedDemandCounter,
	type LoggedModelRequest,
} from '../../src/core/placement/served-demand.js';

function request(change: Partial<LoggedModelRequest>): LoggedModelRequest {
	return {
		time: 0,
		milliseconds: 0,
		outcome: 'own 503: refused',
		model: 'm' as ModelId,
		...change,
	};
}

// Guards against an adapter that is never served behind a model that is.
test('adapters are counted beside their models, and those that are never served come first', () => {
	const counter = new ServedDemandCounter();
	for (const time of [0, 3000, 6000, 9000]) {
		counter.add(request({time, outcome: 'complete'}));
		counter.add(
			request({time, adapter: 'a1' as AdapterId, missing: 'adapter'}),
		);
	}

	const report = counter.report(4, 8000);
	assert.deepEqual(
		report.map(({name, requests, served}) => [name, requests, served]),
		[
			['m/a1', 4, 0],
			['m', 8, 4],
		],
	);
	assert.equal(report[0]?.refusedAsMissing, 4);
	assert.equal(report[0]?.longestWaitMilliseconds, 9000);
	assert.equal(report[1]?.longestWaitMilliseconds, 3000);
	assert.match(
		formatServedDemand(report),
		/^1 of 2 models and adapters were never served/,
	);
});

// Guards against waits that depend on the order in which the logs of the hosts are read.
test('a wait lasts until the next served request, whatever the order of the lines', () => {
	const requests = [
		request({time: 1000}),
		request({time: 4500, milliseconds: 500}),
		request({time: 7000, outcome: 'complete'}),
		request({time: 9000}),
	];
	for (const lines of [requests, [...requests].reverse()]) {
		const counter = new ServedDemandCounter();
		for (const line of lines) {
			counter.add(line);
		}

		assert.deepEqual(
			counter.report(1, 0).map((each) => each.longestWaitMilliseconds),
			[6000],
		);
	}
});

test('what was requested seldom or for a short time is left out', () => {
	const counter = new ServedDemandCounter();
	for (const time of [0, 1000, 2000, 3000]) {
		counter.add(request({time}));
	}

	assert.equal(counter.report(4, 3000).length, 1);
	assert.equal(counter.report(5, 3000).length, 0);
	assert.equal(counter.report(4, 3001).length, 0);
});
