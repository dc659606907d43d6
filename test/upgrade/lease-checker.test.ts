import assert from 'node:assert/strict';
import {test} from 'node:test';
import {LeaseChecker} from './lease-checker.js';

type Step = readonly [at: number, kind: string, host: string];

const cases: ReadonlyArray<
	readonly [name: string, steps: readonly Step[], expected: readonly string[]]
> = [
	[
		'a holder that renews and releases, and the next one',
		[
			[0, 'claimed', 'a'],
			[800, 'renewed', 'a'],
			[900, 'released', 'a'],
			[950, 'claimed', 'b'],
		],
		[],
	],
	[
		'a claim after a holder that was lost',
		[
			[0, 'claimed', 'a'],
			[1800, 'claimed', 'b'],
		],
		[],
	],
	[
		'a claim over a holder that renews',
		[
			[0, 'claimed', 'a'],
			[800, 'renewed', 'a'],
			[1000, 'claimed', 'b'],
		],
		['lease claimed from a holder that renews'],
	],
	[
		'a renewal by another host',
		[
			[0, 'claimed', 'a'],
			[2000, 'renewed', 'b'],
		],
		['lease renewed or released by another host'],
	],
	[
		'a renewal after a release',
		[
			[0, 'claimed', 'a'],
			[100, 'released', 'a'],
			[200, 'renewed', 'a'],
		],
		['lease without a claim'],
	],
	['an unknown kind', [[0, 'later', 'a']], ['unreadable lease record']],
];

// Guards against a checker that sees nothing.
for (const [name, steps, expected] of cases) {
	test(`the checker judges a lease: ${name}`, () => {
		const found: string[] = [];
		const checker = new LeaseChecker((check) => {
			found.push(check);
		});
		for (const [at, kind, host] of steps) {
			const record = {kind, host, incarnation: host, peerAddress: host};
			checker.record(Buffer.from(JSON.stringify(record)), at);
		}

		assert.deepEqual(found, expected);
	});
}
