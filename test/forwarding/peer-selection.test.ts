import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {PeerSelection} from '../../src/core/routing/peer-selection.js';

const none = new Set<string>();

function createSelection(seed = 1) {
	const clock = new ManualClock();
	const selection = new PeerSelection({
		clock,
		random: new SeededRandomSource(seed),
		ownAddress: 'h0',
	});
	return {clock, selection};
}

/** Addresses of all hosts, of which h0 is the one that selects. */
function hosts(count: number): string[] {
	return Array.from({length: count}, (_, index) => `h${index}`);
}

// Guards against a host that forwards requests to itself because its own address is among those of the peers.
test('of two hosts, the other one is chosen', () => {
	const {selection} = createSelection();
	for (let count = 0; count < 20; count++) {
		assert.equal(selection.choose(hosts(2), none), 'h1');
	}

	assert.equal(selection.choose(['h0'], none), undefined);
	assert.equal(selection.choose([], none), undefined);
});

for (const count of [8, 60]) {
	// Guards against a peer that gets most requests of a host that is cut off and is overloaded by them.
	test(`${count} hosts get about equally many requests in flight`, () => {
		for (const seed of [1, 2, 3]) {
			const {selection} = createSelection(seed);
			const peers = hosts(count);
			const perPeer = 10;
			for (let sent = 0; sent < (count - 1) * perPeer; sent++) {
				selection.recordStart(selection.choose(peers, none)!);
			}

			assert.equal(selection.requestsInFlight('h0'), 0);
			for (const peer of peers.slice(1)) {
				const inFlight = selection.requestsInFlight(peer);
				assert.ok(
					inFlight > 0 && inFlight <= 2 * perPeer,
					`${peer}: ${inFlight}`,
				);
			}
		}
	});
}

// Guards against requests that wait for peers that cannot serve them, and against peers that are never asked again.
test('avoided peers get nothing for a second, also when all are avoided', () => {
	const {clock, selection} = createSelection();
	const peers = hosts(8);
	for (const peer of peers.slice(1, 7)) {
		selection.avoid(peer);
	}

	for (let count = 0; count < 20; count++) {
		assert.equal(selection.choose(peers, none), 'h7');
	}

	selection.avoid('h7');
	assert.equal(selection.choose(peers, none), undefined);
	clock.advance(1100);
	assert.notEqual(selection.choose(peers, none), undefined);
});

test('peers that have refused a request are excluded for it', () => {
	const {selection} = createSelection();
	const excluded = new Set(['h1', 'h2']);
	for (let count = 0; count < 20; count++) {
		assert.equal(selection.choose(hosts(4), excluded), 'h3');
	}
});

// Guards against a count that stays after the end of requests, so that a peer is never chosen again.
test('the count of requests in flight ends at zero', () => {
	const {selection} = createSelection();
	selection.recordStart('h1');
	selection.recordStart('h1');
	selection.recordEnd('h1');
	assert.equal(selection.requestsInFlight('h1'), 1);
	selection.recordEnd('h1');
	assert.equal(selection.requestsInFlight('h1'), 0);
});
