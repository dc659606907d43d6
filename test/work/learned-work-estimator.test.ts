import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type ModelId, type OfferingName} from '../../src/contracts/ids.js';
import {LearnedWorkEstimator} from '../../src/core/work/learned-work-estimator.js';
import {LengthDistribution} from '../../src/core/work/length-distribution.js';
import {
	remainingMilliseconds,
	type WorkFeatures,
} from '../../src/core/work/work-estimator.js';
import {logNormal} from '../../src/measure/workload.js';

const features: WorkFeatures = {
	offering: 'summary' as OfferingName,
	model: 'm' as ModelId,
	adapter: undefined,
	promptTokens: 700,
	maximumTokens: 950,
	hintedTokens: undefined,
};

function observe(
	estimator: LearnedWorkEstimator,
	tokens: number,
	changes: Partial<WorkFeatures> = {},
) {
	estimator.observe(
		{...features, ...changes},
		{
			tokens,
			startMilliseconds: 10 + (changes.promptTokens ?? 700) / 38.4,
			millisecondsPerToken: 5,
			promptTokensRead: changes.promptTokens ?? 700,
		},
	);
}

/** Teaches lengths with a median of 150, with hints that are right apart from a noise. */
function learn(
	estimator: LearnedWorkEstimator,
	hintOf: (tokens: number) => number | undefined,
	count = 1000,
) {
	const random = new SeededRandomSource(1);
	for (let index = 0; index < count; index++) {
		const tokens = Math.min(950, logNormal(random, 150, 1));
		observe(estimator, tokens, {hintedTokens: hintOf(tokens)});
	}
}

// Guards against a biased mean, which would misplace load, and against an upper quantile that promises too much.
test('the mean and the upper quantile of learned lengths are those of the distribution', () => {
	const estimator = new LearnedWorkEstimator();
	learn(estimator, () => undefined);
	const random = new SeededRandomSource(2);
	const lengths = Array.from({length: 20_000}, () =>
		Math.min(950, logNormal(random, 150, 1)),
	);
	const mean = lengths.reduce((sum, each) => sum + each, 0) / lengths.length;
	const estimate = estimator.estimate(features);
	assert.ok(Math.abs(estimate.tokens / mean - 1) < 0.25, `${estimate.tokens}`);
	const above = lengths.filter((each) => each > estimate.upperTokens).length;
	assert.ok(above / lengths.length > 0.05 && above / lengths.length < 0.17);
	assert.ok(estimate.upperTokens <= 950);
});

// Guards against a prompt that is charged at a fixed rate although the targets are faster or slower.
test('the time for the prompt is learned apart from the time for the response', () => {
	const estimator = new LearnedWorkEstimator();
	const random = new SeededRandomSource(3);
	for (let index = 0; index < 200; index++) {
		observe(estimator, 100, {promptTokens: logNormal(random, 500, 1)});
	}

	const estimate = estimator.estimate({...features, promptTokens: 1920});
	assert.ok(Math.abs(estimate.promptMilliseconds - 50) < 5);
	assert.ok(Math.abs(estimate.millisecondsPerToken - 5) < 0.1);
});

// Guards against a caller whose declared prompt is absurd and makes prompts seem free for all.
test('an absurd prompt does not change what is learned of prompts', () => {
	const estimator = new LearnedWorkEstimator();
	const random = new SeededRandomSource(7);
	for (let index = 0; index < 300; index++) {
		observe(estimator, 100, {promptTokens: logNormal(random, 500, 1)});
		if (index >= 200 && index % 10 === 0) {
			estimator.observe(
				{...features, promptTokens: 1e9},
				{
					tokens: 100,
					startMilliseconds: 20,
					millisecondsPerToken: 5,
					promptTokensRead: 1e9,
				},
			);
		}
	}

	const {promptMilliseconds} = estimator.estimate({
		...features,
		promptTokens: 1920,
	});
	assert.ok(promptMilliseconds > 20 && promptMilliseconds < 80);
});

// Guards against trust in hints before they have proved right, and against no use of hints that are.
test('hints are used as far as they have been right', () => {
	const useful = new LearnedWorkEstimator();
	const noise = new SeededRandomSource(4);
	learn(useful, (tokens) => 10 * logNormal(noise, tokens, 0.3));
	// The hints were always ten times too long.
	const short = useful.estimate({
		...features,
		hintedTokens: 500,
		maximumTokens: 9500,
	});
	assert.ok(short.tokens < 110, `${short.tokens}`);
	const useless = new LearnedWorkEstimator();
	learn(useless, () => 100 + noise.integer(800));
	const without = useless.estimate(features).tokens;
	for (const hintedTokens of [1, 900]) {
		const {tokens} = useless.estimate({...features, hintedTokens});
		assert.ok(Math.abs(tokens / without - 1) < 0.3, `${tokens} ${without}`);
	}

	const unknown = new LearnedWorkEstimator();
	assert.deepEqual(
		unknown.estimate({...features, hintedTokens: 900}).tokens,
		unknown.estimate(features).tokens,
	);
});

// Guards against callers that gain or cost others more than the stated bound with false hints.
test('whatever hints say, estimates stay within the range of lengths and below the maximum', () => {
	fc.assert(
		fc.property(
			fc.array(fc.constantFrom(0, 1, 64, 500, 1e9, Number.MAX_SAFE_INTEGER), {
				minLength: 50,
				maxLength: 200,
			}),
			fc.constantFrom(0, 1, 1e9, Number.MAX_SAFE_INTEGER),
			(learned, hintedTokens) => {
				const estimator = new LearnedWorkEstimator();
				const random = new SeededRandomSource(5);
				for (const hint of learned) {
					observe(estimator, Math.min(950, logNormal(random, 150, 1)), {
						hintedTokens: hint,
					});
				}

				const plain = estimator.estimate(features);
				const hinted = estimator.estimate({...features, hintedTokens});
				assert.ok(hinted.tokens >= 1 && hinted.tokens <= 950);
				assert.ok(hinted.upperTokens <= 950);
				// From the 5% to the 95% quantile at the largest spread.
				const bound = Math.exp(1.645 * 1.6);
				assert.ok(hinted.tokens <= plain.tokens * bound);
				assert.ok(hinted.upperTokens >= plain.upperTokens / bound / 8);
			},
		),
		{seed: 1, numRuns: 50},
	);
});

// Guards against keys without history that start from nothing, and against history of other weights.
test('a model without history uses that of its route, also after a reset', () => {
	const estimator = new LearnedWorkEstimator();
	learn(estimator, () => undefined, 300);
	const other = 'other' as ModelId;
	const route = estimator.estimate({...features, model: other}).tokens;
	for (let index = 0; index < 15; index++) {
		observe(estimator, 20, {model: other});
	}

	assert.ok(estimator.estimate({...features, model: other}).tokens < 80);
	estimator.resetModel(other);
	const {tokens} = estimator.estimate({...features, model: other});
	assert.ok(tokens > 100 && tokens <= route * 1.2, `${tokens} ${route}`);
});

// Guards against a memory leak by keys that callers choose.
test('the number of keys is bounded', () => {
	const estimator = new LearnedWorkEstimator({maximumKeys: 20});
	for (let index = 0; index < 500; index++) {
		observe(estimator, 100, {
			offering: `o${index}` as OfferingName,
			model: `m${index}` as ModelId,
			hintedTokens: 5,
		});
	}

	for (const value of Object.values(estimator)) {
		assert.ok(!(value instanceof Map) || value.size <= 20);
	}

	assert.ok(
		Math.abs(estimator.estimate(features).millisecondsPerToken - 5) < 1,
	);
});

// Guards against streams that outlive their estimate and then seem to leave no work.
test('the rest of a response is that of the longer ones once it has outlived the mean', () => {
	const lengths = new LengthDistribution(Math.log(150), 1, 950);
	assert.ok(Math.abs(lengths.meanRemaining(0) - lengths.mean) < 0.001);
	assert.ok(lengths.meanRemaining(300) > 100);
	assert.ok(lengths.meanRemaining(949) <= 1);
	assert.equal(lengths.meanRemaining(950), 0);
	const estimate = new LearnedWorkEstimator().estimate(features);
	assert.ok(remainingMilliseconds(estimate, 5000) === 0);
	assert.ok(remainingMilliseconds(estimate, 0) >= estimate.promptMilliseconds);
});
