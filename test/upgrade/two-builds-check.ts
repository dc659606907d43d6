import assert from 'node:assert/strict';
import {type TwoBuildsResult} from './two-builds.js';

/** Fails when a run broke a rule, or when it did not do what it is to check. Prints its figures. */
export function assertSound(result: TwoBuildsResult): void {
	const {outcomes, violations, reports, unexpectedErrors, claims, earlierOnly} =
		result;
	console.log(
		JSON.stringify({
			outcomes,
			claims,
			replacementMilliseconds: result.replacementMilliseconds,
			streamRecords: result.streamRecords,
			handedOver: result.handedOver,
			earlierOnly: earlierOnly.map(({check}) => check),
		}),
	);
	assert.ok((outcomes['stream-resumable whole'] ?? 0) > 0);
	assert.ok((outcomes['stream-once whole'] ?? 0) > 0);
	assert.ok((outcomes['once status 200'] ?? 0) > 0);
	assert.ok((outcomes['again status 200'] ?? 0) > 0);
	assert.ok((outcomes.orders ?? 0) > 0);
	// The lease has to pass between the builds in both directions, or the run tests nothing of it.
	const text = claims.join(' ');
	assert.match(text, /earlier later/);
	assert.match(text, /later earlier/);
	assert.deepEqual(unexpectedErrors, []);
	assert.equal(violations.length, 0, reports.join('\n'));
}
