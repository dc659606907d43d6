import assert from 'node:assert/strict';
import {test} from 'node:test';
import {OrderChecker} from './order-checker.js';

function check(
	orders: ReadonlyArray<readonly [holder: string, fence: number, at: number]>,
): string[] {
	const found: string[] = [];
	const checker = new OrderChecker((name) => {
		found.push(name);
	});
	for (const [holder, fence, at] of orders) {
		checker.record({holder, fence, text: 'load m'}, at, false);
	}

	return found;
}

// Guards against a soak that passes because its checker sees nothing.
for (const [name, orders, expected] of [
	[
		'a handover after the lease',
		[
			['h1', 1, 0],
			['h2', 2, 3000],
		],
		[],
	],
	[
		'a handover within the lease',
		[
			['h1', 1, 0],
			['h2', 2, 2900],
		],
		['holders take turns'],
	],
	[
		'one token of two holders',
		[
			['h1', 1, 0],
			['h2', 1, 4000],
		],
		['two holders with one token'],
	],
	[
		'an older token',
		[
			['h1', 1, 0],
			['h2', 2, 4000],
			['h1', 1, 8000],
		],
		['token went back'],
	],
] as const) {
	test(`the checker judges orders: ${name}`, () => {
		assert.deepEqual(check(orders), expected);
	});
}
