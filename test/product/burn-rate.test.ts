import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {callerClassSchema} from '../../src/contracts/fleet-document.js';
import {type CallerClassName} from '../../src/contracts/ids.js';
import {
	BurnRateTracker,
	burnRate,
	remainingErrorBudget,
	judgeRequest,
	mergeClassCounts,
	type Judgement,
	type RequestOutcome,
} from '../../src/core/burn/burn-rate.js';
import {
	formatBurnPlot,
	formatBurnTable,
	createBurnReport,
} from '../../src/core/burn/burn-report.js';

const schoolsClass = callerClassSchema.parse({
	name: 'schools',
	urgency: 'urgent',
});
const name = 'schools' as CallerClassName;
const hourMilliseconds = 3_600_000;

// With 20 bad requests of 1000 and an objective of 99%, 2% are bad and 1% is allowed: a burn rate of 2.
test('burn rate and remaining budget match values calculated by hand', () => {
	const counts = {good: 980, bad: 20, excluded: 500};
	assert.equal(burnRate(counts, 0.99).toFixed(6), '2.000000');
	assert.equal(remainingErrorBudget(counts, 0.99).toFixed(6), '-1.000000');
	assert.equal(
		remainingErrorBudget({good: 9995, bad: 5, excluded: 0}, 0.999).toFixed(6),
		'0.500000',
	);
	assert.equal(burnRate({good: 0, bad: 0, excluded: 9}, 0.99), 0);
});

const judgements: ReadonlyArray<
	readonly [outcome: RequestOutcome, expected: Judgement]
> = [
	[{completed: true, firstTokenMilliseconds: 900}, 'good'],
	[{completed: true, firstTokenMilliseconds: 901}, 'bad'],
	[{completed: true, betweenTokensMilliseconds: 80}, 'bad'],
	[{completed: true, serviceCallMilliseconds: 1001}, 'bad'],
	[{completed: false, firstTokenMilliseconds: 10}, 'bad'],
	[{completed: false, refusal: 'overload'}, 'bad'],
	[{completed: false, refusal: 'caller-limit'}, 'excluded'],
	[{completed: false, cancelledByCaller: true}, 'excluded'],
];

// Guards against a caller that spends the error budget of its class by exceeding its own limit.
test('requests are classified by the objectives of their class', () => {
	for (const [outcome, expected] of judgements) {
		assert.equal(
			judgeRequest(outcome, schoolsClass.objectives),
			expected,
			JSON.stringify(outcome),
		);
	}
});

function recordMany(
	tracker: BurnRateTracker,
	judgement: Judgement,
	count: number,
): void {
	for (let index = 0; index < count; index++) {
		tracker.record(name, judgement);
	}
}

test('windows count exactly the requests within them', () => {
	const clock = new ManualClock(400 * 24 * hourMilliseconds);
	const tracker = new BurnRateTracker(clock);
	recordMany(tracker, 'bad', 10);
	clock.advance(2 * hourMilliseconds);
	recordMany(tracker, 'good', 90);
	recordMany(tracker, 'excluded', 3);
	const [counts] = tracker.counts();
	assert.deepEqual(counts?.windows, {
		'5m': {good: 90, bad: 0, excluded: 3},
		'1h': {good: 90, bad: 0, excluded: 3},
		'6h': {good: 90, bad: 10, excluded: 3},
		'3d': {good: 90, bad: 10, excluded: 3},
	});
	clock.advance(4 * 24 * hourMilliseconds);
	const [later] = tracker.counts();
	assert.deepEqual(later?.windows['3d'], {good: 0, bad: 0, excluded: 0});
	assert.deepEqual(later?.period, {good: 90, bad: 10, excluded: 3});
	clock.advance(31 * 24 * hourMilliseconds);
	assert.deepEqual(tracker.counts()[0]?.period, {
		good: 0,
		bad: 0,
		excluded: 0,
	});
});

test('the report sums the counts of all hosts and sets the alert', () => {
	const clock = new ManualClock(400 * 24 * hourMilliseconds);
	const left = new BurnRateTracker(clock);
	const right = new BurnRateTracker(clock);
	recordMany(left, 'good', 80);
	recordMany(right, 'bad', 20);
	const report = createBurnReport(
		[schoolsClass, {...schoolsClass, name: 'a<b' as CallerClassName}],
		mergeClassCounts([left.counts(), right.counts()]),
		clock.wall(),
	);
	const [first, second] = report.classes;
	// 20% of the requests are bad and 1% is allowed.
	assert.equal(first?.windows[0]?.burnRate.toFixed(3), '20.000');
	assert.equal(first?.alert, 'fast');
	assert.equal(second?.alert, 'none');
	assert.equal(second?.budgetLeft, 1);
	const table = formatBurnTable(report).split('\n');
	assert.equal(table.length, 3);
	assert.match(table[1]!, /^schools +99\.00% +20\.00 .* -1900\.0% +fast$/);
	const svg = formatBurnPlot(report);
	assert.match(svg, /^<svg xmlns/);
	assert.match(svg, /a&lt;b/);
	assert.equal(svg.match(/<polyline/g)?.length, 2);
	assert.doesNotMatch(svg, /NaN|Infinity/);
});
