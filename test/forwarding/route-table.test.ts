import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {type RouteRule} from '../../src/contracts/forwarding-document.js';
import {type PoolName, type RouteName} from '../../src/contracts/ids.js';
import {
	pickPoolByWeight,
	RouteTable,
} from '../../src/core/routing/route-table.js';

function route(name: string, hostName: string, pathPrefix: string): RouteRule {
	return {
		name: name as RouteName,
		hostName,
		pathPrefix,
		kind: 'idempotent',
		timeoutMilliseconds: 1000,
		latencyObjectiveMilliseconds: 100,
		priority: 0,
		maximumExecutions: 2,
		isResumable: false,
		pools: [{pool: 'p' as PoolName, weight: 1}],
	};
}

const table = new RouteTable({
	routes: [
		route('short', 'a.example', '/a/'),
		route('long', 'a.example', '/a/b/'),
		route('other host', 'b.example', '/a/'),
	],
});

// Guards against matching a shorter prefix, a route of another host name, or the query.
test('the route with the longest path prefix of the host name matches', () => {
	const cases: ReadonlyArray<readonly [string, string, string | undefined]> = [
		['a.example', '/a/x', 'short'],
		['a.example', '/a/b/x', 'long'],
		['A.Example:8080', '/a/b/', 'long'],
		['b.example', '/a/b/x?y=/a/b/', 'other host'],
		['a.example', '/a', undefined],
		['a.example', '/other?p=/a/', undefined],
		['c.example', '/a/x', undefined],
		['', '/a/x', undefined],
	];
	for (const [host, target, expected] of cases) {
		assert.equal(
			table.match(host, target)?.name,
			expected,
			`${host} ${target}`,
		);
	}
});

// Guards against pools that receive more or less than their weight, and requests to a pool of weight zero.
test('pools are picked in proportion to their weights', () => {
	const random = new SeededRandomSource(1);
	const pools = [
		{pool: 'a' as PoolName, weight: 90},
		{pool: 'b' as PoolName, weight: 10},
		{pool: 'c' as PoolName, weight: 0},
	];
	const counts = new Map<string, number>();
	for (let draw = 0; draw < 5000; draw++) {
		const pool = pickPoolByWeight({pools}, random)!;
		counts.set(pool, (counts.get(pool) ?? 0) + 1);
	}

	assert.ok(Math.abs(counts.get('b')! - 500) < 80, String(counts.get('b')));
	assert.equal(counts.get('c'), undefined);
	assert.equal(pickPoolByWeight({pools: []}, random), undefined);
});
