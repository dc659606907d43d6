import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	type PoolName,
	type RequestId,
	type SoftwareVersion,
} from '../../src/contracts/ids.js';
import {
	streamLifetimeMilliseconds,
	StreamOrigins,
} from '../../src/core/streams/stream-origins.js';
import {createSharing} from './stream-sharing.js';

const pool = 'p' as PoolName;
const [v1, v2] = ['v1', 'v2'] as [SoftwareVersion, SoftwareVersion];
const stream = (name: string) => name as RequestId;

// Guards against a stream that a reader never learns of, or that is sent again and again.
test('a reader has each remembered stream once, in any order of records and reads', () => {
	const action = fc.oneof(
		fc.record({kind: fc.constant('record' as const), id: fc.nat({max: 60})}),
		fc.record({kind: fc.constant('read' as const), id: fc.constant(0)}),
		fc.record({kind: fc.constant('wait' as const), id: fc.nat({max: 20_000})}),
	);
	fc.assert(
		fc.property(fc.array(action, {maxLength: 200}), (actions) => {
			const clock = new ManualClock();
			const origins = new StreamOrigins(clock);
			const received = new Map<RequestId, number>();
			const recordedAt = new Map<RequestId, number>();
			let revision = 0;
			let now = 0;
			const read = () => {
				const changes = origins.changesSince(revision, ['own', 'reporter']);
				revision = changes.revision;
				for (const origin of changes.origins) {
					received.set(origin.stream, now);
				}
			};

			for (const {kind, id} of actions) {
				const name = stream(String(id));
				if (kind === 'wait') {
					clock.advance(id);
					now += id;
				} else if (kind === 'read') {
					read();
				} else if (origins.get(name) === undefined) {
					origins.record(name, v1, id % 2 === 0 ? 'own' : 'reporter');
					recordedAt.set(name, now);
				}
			}

			read();
			for (const [name, at] of recordedAt) {
				if (now - at < streamLifetimeMilliseconds) {
					assert.equal(origins.get(name), v1);
					assert.ok((received.get(name) ?? -1) >= at);
				}
			}
		}),
	);
});

test('a stream is forgotten after its lifetime, and what is known of it is not replaced', () => {
	const clock = new ManualClock();
	const origins = new StreamOrigins(clock);
	origins.record(stream('a'), v1, 'own');
	origins.record(stream('a'), v2, 'upstream');
	assert.equal(origins.get(stream('a')), v1);
	clock.advance(streamLifetimeMilliseconds + 1);
	origins.record(stream('b'), v2, 'own');
	assert.equal(origins.get(stream('a')), undefined);
	assert.deepEqual(
		origins.changesSince(0, ['own']).origins.map((origin) => origin.stream),
		['b'],
	);
});

test('the number of remembered streams is bounded', () => {
	const origins = new StreamOrigins(new ManualClock());
	for (let index = 0; index < 40_000; index++) {
		origins.record(stream(String(index)), v1, 'reporter');
	}

	assert.equal(origins.get(stream('39999')), v1);
	assert.equal(origins.get(stream('0')), undefined);
	assert.ok(origins.changesSince(0, ['reporter']).origins.length <= 40_000);
});

// Guards against bytes between hosts in a fleet whose targets are all of one version, and against a stream that is not
// known when a second version appears.
test('hosts tell each other streams only while several versions can have begun them', () => {
	const clock = new ManualClock();
	const {sharing, versions} = createSharing(clock);
	versions.observe(pool, v1);
	clock.advance(streamLifetimeMilliseconds);
	versions.observe(pool, v1);
	sharing.recordStart(stream('a'), v1);
	const {origins, revision} = sharing.changesForReceiver(0);
	assert.deepEqual(origins, []);
	assert.equal(sharing.known(pool, undefined), v1);
	versions.observe(pool, v2);
	assert.equal(sharing.known(pool, undefined), undefined);
	assert.equal(sharing.known(pool, stream('a')), v1);
	assert.equal(sharing.changesForReceiver(revision).origins.length, 1);
});

// Guards against a guess: a target that has left may have begun the stream, or one that this process never saw.
test('the version of an unknown stream is not guessed while another one can have begun it', () => {
	const clock = new ManualClock();
	const {sharing, versions} = createSharing(clock);
	versions.observe(pool, v1);
	assert.equal(sharing.known(pool, stream('a')), undefined);
	clock.advance(streamLifetimeMilliseconds);
	versions.observe(pool, v1);
	versions.observe(pool, v2);
	clock.advance(streamLifetimeMilliseconds / 2);
	versions.observe(pool, v2);
	assert.equal(sharing.known(pool, stream('a')), undefined);
	clock.advance(streamLifetimeMilliseconds);
	versions.observe(pool, v2);
	assert.equal(sharing.known(pool, stream('a')), v2);
});

// Guards against streams that are known to one host only, which may be the one that was killed.
test('streams of a host reach the host to which it reports, and not back', () => {
	const clock = new ManualClock();
	const [member, relay] = [createSharing(clock), createSharing(clock)];
	for (const {versions} of [member, relay]) {
		versions.observe(pool, v1);
		versions.observe(pool, v2);
	}

	member.sharing.recordStart(stream('a'), v1);
	relay.sharing.merge(member.sharing.changesForReceiver(0).origins, 'reporter');
	relay.sharing.recordStart(stream('b'), v2);
	assert.deepEqual(
		relay.sharing.changesForReceiver(0).origins.map((each) => each.stream),
		['b', 'a'],
	);
	const returned = relay.sharing.changesForReporter(0).origins;
	assert.deepEqual(
		returned.map((each) => each.stream),
		['b'],
	);
	member.sharing.merge(returned, 'upstream');
	assert.equal(member.sharing.get(stream('b')), v2);
	assert.deepEqual(
		member.sharing.changesForReceiver(0).origins.map((each) => each.stream),
		['a'],
	);
});

// Guards against streams that cannot go on in a fleet of one version: a host that has just started learns from the others
// that there was no other version.
test('a host that started lately knows the sole version once a host that has run for longer has told it', () => {
	const clock = new ManualClock();
	const [young, old] = [createSharing(clock), createSharing(clock)];
	old.versions.observe(pool, v2);
	clock.advance(streamLifetimeMilliseconds);
	old.versions.observe(pool, v2);
	const late = createSharing(clock);
	late.versions.observe(pool, v2);
	assert.equal(late.sharing.known(pool, undefined), undefined);
	assert.ok(late.sharing.lacksVersions);
	late.sharing.learnVersions(old.sharing.versionReport());
	assert.equal(late.sharing.known(pool, undefined), v2);
	assert.ok(!late.sharing.lacksVersions);
	young.versions.observe(pool, v2);
	young.sharing.mergeVersions([{pool, version: v1, ageMilliseconds: 1}]);
	assert.equal(young.sharing.known(pool, undefined), undefined);
	clock.advance(streamLifetimeMilliseconds + 1);
	young.versions.observe(pool, v2);
	assert.equal(young.sharing.known(pool, undefined), v2);
});

// Guards against a fact that nobody has: a host that is as young as the one that asks cannot tell what was there before.
test('a young host does not make another one sure', () => {
	const clock = new ManualClock();
	const [first, second] = [createSharing(clock), createSharing(clock)];
	for (const {versions} of [first, second]) {
		versions.observe(pool, v2);
	}

	clock.advance(streamLifetimeMilliseconds / 2);
	second.sharing.learnVersions(first.sharing.versionReport());
	assert.equal(second.sharing.known(pool, undefined), undefined);
	// What was seen before a gap stays known, as that of a fleet whose last record in the store tells two versions.
	second.sharing.learnVersions({
		versions: [{pool, version: v1, ageMilliseconds: 10}],
		reachMilliseconds: streamLifetimeMilliseconds,
	});
	second.versions.observe(pool, v2);
	assert.equal(second.sharing.known(pool, undefined), undefined);
	clock.advance(streamLifetimeMilliseconds);
	second.versions.observe(pool, v2);
	assert.equal(second.sharing.known(pool, undefined), v2);
});

// Guards against a host that was cut off while a version came and went: it is as young as one that has just started.
test('a host that was cut off is not sure of the versions, nor does it make others sure', () => {
	const clock = new ManualClock();
	const host = createSharing(clock);
	host.versions.observe(pool, v1);
	clock.advance(streamLifetimeMilliseconds);
	host.versions.observe(pool, v1);
	const report = host.sharing.versionReport();
	assert.equal(host.sharing.known(pool, undefined), v1);
	host.list.isCurrent = false;
	assert.equal(host.sharing.known(pool, undefined), undefined);
	assert.equal(host.sharing.versionReport().reachMilliseconds, 0);
	host.versions.recordGap();
	host.list.isCurrent = true;
	assert.equal(host.sharing.known(pool, undefined), undefined);
	const other = createSharing(clock);
	other.versions.observe(pool, v1);
	other.sharing.learnVersions(host.sharing.versionReport());
	assert.equal(other.sharing.known(pool, undefined), undefined);
	host.sharing.learnVersions(report);
	assert.equal(host.sharing.known(pool, undefined), v1);
});
