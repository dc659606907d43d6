import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {ManualClock} from '../../src/base/common/clock.js';
import {
	EventLogger,
	type LogEventDefinition,
} from '../../src/base/common/event-logger.js';
import {forwardingEvents} from '../../src/contracts/events/forwarding-events.js';
import {type TargetId} from '../../src/contracts/ids.js';
import {type TargetListChange} from '../../src/contracts/listed-target.js';
import {ReportResponseSchema} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {decodeDocument} from '../../src/platform/document-state.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {StoreClient} from '../../src/platform/store-client.js';
import {
	decodeEntry,
	PlatformTargetListState,
} from '../../src/platform/target-list-state.js';
import {FleetView} from '../../src/services/forwarding/reports/fleet-view.js';
import {
	fromTargetListUpdate,
	toListedTarget,
	toUnlistedFields,
} from '../../src/services/forwarding/reports/report-messages.js';
import {TargetListManager} from '../../src/services/forwarding/targets/target-list-manager.js';
import {TargetRegistry} from '../../src/services/forwarding/targets/target-registry.js';
import {oddEntries, soundEntry} from './odd-values.js';
import {StandInStore} from './stand-in-store.js';

/** Longest time for which one entry may block the event loop. A sound one takes far less than a millisecond. */
const maximumDecodeMilliseconds = 400;
/** Longest line about one entry. */
const maximumLineLength = 2000;
const soundCount = 200;

class RecordingLogger extends EventLogger {
	readonly lines: string[] = [];

	record(
		event: LogEventDefinition,
		fields: Readonly<Record<string, unknown>> = {},
	): void {
		this.lines.push(JSON.stringify({event: event.name, ...fields}));
	}

	malformed(): string[] {
		return this.lines.filter((line) =>
			line.includes(forwardingEvents.targetEntryMalformed.name),
		);
	}
}

function createList() {
	const clock = new ManualClock();
	const events = new RecordingLogger();
	const registry = new TargetRegistry({clock, events});
	const manager = new TargetListManager(clock, registry, 2000);
	const view = new FleetView({name: 'owner', registry});
	const apply = (changes: readonly TargetListChange[], isSnapshot = false) => {
		manager.apply({
			changes,
			isSnapshot,
			isRestored: false,
			mayLackChanges: false,
			gapMilliseconds: 0,
			hasFailed: false,
		});
	};

	return {clock, events, registry, view, apply};
}

/** Passes what a host knows on to another one, over the wire format of reports. */
function passOn(view: FleetView): TargetListChange[] {
	const {listed, unlisted} = view.changesSince('', 0);
	const message = create(ReportResponseSchema, {
		targetList: {
			isComplete: true,
			listed: listed.map(toListedTarget),
			...toUnlistedFields(unlisted),
		},
	});
	const received = fromBinary(
		ReportResponseSchema,
		toBinary(ReportResponseSchema, message),
	);
	return fromTargetListUpdate(received.targetList!);
}

function soundBytes(change: Record<string, unknown> = {}): Buffer {
	return Buffer.from(JSON.stringify({...soundEntry, ...change}));
}

const soundKeys = Array.from({length: soundCount}, (_, index) => `i-${index}`);

// Guards against an entry that ends the process or stops the reading of the list, blocks it, names an address to which
// no connection can be made, or cannot be passed on to the other hosts.
for (const {name, key = 'odd', value, isUsable = false} of oddEntries) {
	test(`an odd entry does not hinder the sound ones: ${name}`, async () => {
		const startedAt = performance.now();
		const change = decodeEntry(key, value);
		assert.ok(performance.now() - startedAt < maximumDecodeMilliseconds);
		assert.equal(change.kind, isUsable ? 'listed' : 'malformed');

		const {events, registry, view, apply} = createList();
		const sound = soundKeys.map((id) => decodeEntry(id, soundBytes()));
		apply([...sound.slice(0, 100), change, ...sound.slice(100)], true);
		apply([change]);
		for (const id of [...soundKeys, key]) {
			registry.getConnections(id as TargetId);
		}

		const follower = createList();
		follower.apply(passOn(view), true);
		for (const {registry: known} of [{registry}, follower]) {
			assert.equal(
				[...known.all()].filter(({listed}) => listed.id !== key).length,
				soundCount,
			);
			assert.equal(known.get(key as TargetId) !== undefined, isUsable);
		}

		assert.equal(events.malformed().length, isUsable ? 0 : 1);
		assert.ok(events.lines.every((line) => line.length < maximumLineLength));
		await registry.dispose();
		await follower.registry.dispose();
	});
}

// Guards against a sound worker that gets no requests for good, because one odd entry under its key set a revision that
// none of its own reaches.
test('after an odd entry under its key, the next entry of a worker is applied', () => {
	for (const {name, value} of oddEntries) {
		const {registry, apply} = createList();
		apply([decodeEntry('i-1', soundBytes())], true);
		apply([decodeEntry('i-1', value)]);
		apply([decodeEntry('i-1', soundBytes({seq: 5, slots: 7}))]);
		assert.equal(registry.get('i-1' as TargetId)?.listed.slots, 7, name);
	}
});

// Guards against requests to an address that is no longer vouched for. The worker writes its entry again within a second.
test('the target of an entry that turns odd is removed until it writes a sound one', () => {
	const {registry, events, apply} = createList();
	apply([decodeEntry('i-1', soundBytes())], true);
	apply([decodeEntry('i-1', Buffer.from('{'))]);
	assert.equal(registry.get('i-1' as TargetId), undefined);
	assert.equal(events.malformed().length, 1);
	apply([decodeEntry('i-1', soundBytes({seq: 5}))]);
	assert.ok(registry.get('i-1' as TargetId));
});

// Guards against a log that is full of one writer's entries.
test('an odd entry that changes with each write is logged once a minute, and many odd ones share a limit', () => {
	const {clock, events, apply} = createList();
	const write = (key: string, index: number) => {
		apply([decodeEntry(key, Buffer.from(`{${index}`))]);
	};

	for (let index = 0; index < 1000; index++) {
		write('odd', index);
	}

	assert.equal(events.malformed().length, 1);
	clock.advance(60_000);
	write('odd', 1000);
	assert.equal(events.malformed().length, 2);
	assert.match(events.malformed()[1]!, /"omittedLines":999/);
	for (let index = 0; index < 10_000; index++) {
		write(`odd-${index}`, index);
	}

	assert.ok(events.malformed().length <= 70);
});

const store = new StandInStore();
let client: StoreClient;
before(async () => {
	client = new StoreClient({address: await store.start()});
});
after(async () => {
	await client.dispose();
	store.stop();
});

// Guards against a count of writes that is taken from the text without a check: one with hundreds of digits makes all
// later entries of the worker look older, and the removal of the worker cannot be reported to other hosts.
test('a renewal with an implausible count of writes makes no later entry look older', async () => {
	const {registry, view, apply} = createList();
	const state = new PlatformTargetListState(client);
	store.put('keyed.servers', 'i-1', soundBytes());
	const newest = (await state.readNewest())._unsafeUnwrap();
	apply(newest.changes, true);
	let {next} = newest;
	const writeAndApply = async (value: Buffer) => {
		store.put('keyed.servers', 'i-1', value);
		const read = (await state.readSince(next, 0))._unsafeUnwrap();
		next = read.next;
		apply(read.changes);
	};

	const text = soundBytes().toString();
	for (const odd of ['9'.repeat(400), '1e300', '9007199254740991', '007']) {
		await writeAndApply(Buffer.from(text.replace('"seq":4', `"seq":${odd}`)));
	}

	await writeAndApply(soundBytes({seq: 6, slots: 9}));
	assert.equal(registry.get('i-1' as TargetId)?.listed.slots, 9);
	apply([{kind: 'unlisted', target: 'i-1' as TargetId}]);
	assert.deepEqual(passOn(view), []);
	const {unlisted} = view.changesSince('owner', 1);
	assert.equal(unlisted.length, 1);
	toBinary(
		ReportResponseSchema,
		create(ReportResponseSchema, {targetList: toUnlistedFields(unlisted)}),
	);
});

// Guards against a record that is dropped without a word.
test('a record that is shorter than its key is reported as malformed', async () => {
	const state = new PlatformTargetListState(client);
	const {next} = (await state.readNewest())._unsafeUnwrap();
	await client.append('keyed.servers', Buffer.from([9, 65]), next);
	const read = (await state.readSince(next, 0))._unsafeUnwrap();
	assert.deepEqual(
		read.changes.map(({kind}) => kind),
		['malformed'],
	);
});

const configuration = {
	version: 7,
	routes: [
		{
			name: 'r',
			host: 'a.example',
			prefix: '/x/',
			kind: 'idempotent',
			timeout_ms: 2000,
			service: 's',
		},
	],
	services: [{name: 's'}],
	limits: {
		header_bytes: 16_384,
		max_body_bytes: 1000,
		header_ms: 3000,
		idle_ms: 15_000,
	},
};

// Guards against a version that cannot be reported to other hosts, and against a reason of any size in the log.
test('an odd configuration is unreadable, with a bounded reason', () => {
	const [route] = configuration.routes;
	const text = JSON.stringify(configuration);
	const cases: ReadonlyArray<readonly [string, Buffer]> = [
		...['7.5', '-1', '1e308', '1e400', '9007199254740993', 'NaN'].map(
			(version) =>
				[
					`version ${version}`,
					Buffer.from(text.replace('"version":7', `"version":${version}`)),
				] as const,
		),
		[
			'timeout -1',
			Buffer.from(text.replace('"timeout_ms":2000', '"timeout_ms":-1')),
		],
		['invalid UTF-8', Buffer.from(text.replace('a.ex', '\u00C3('), 'latin1')],
		[
			'100,000 routes of a wrong type',
			Buffer.from(
				JSON.stringify({
					...configuration,
					routes: Array.from({length: 100_000}, () => 1),
				}),
			),
		],
		[
			'nested routes',
			Buffer.from(
				text.replace(
					JSON.stringify(route),
					'['.repeat(100_000) + ']'.repeat(100_000),
				),
			),
		],
	];
	for (const [name, value] of cases) {
		const change = decodeDocument(value);
		assert.equal(change.kind, 'unreadable', name);
		assert.ok(change.reason.length < 1000, name);
	}
});

// Guards against requests that expire at once: a timer that cannot hold its time runs after a millisecond.
test('a timeout that no timer can hold is cut to the longest one', () => {
	const change = decodeDocument(
		Buffer.from(
			JSON.stringify(configuration).replace(
				'"timeout_ms":2000',
				'"timeout_ms":1e300',
			),
		),
	);
	assert.equal(change.kind, 'document');
	assert.equal(change.document.routes[0]!.timeoutMilliseconds, 2_147_483_647);
});

// Guards against state of a target that its headers make useless.
test('odd headers of a worker are ignored', () => {
	const codec = new PlatformRequestCodec();
	for (const value of [
		'1e308,1,1',
		'-1,0,4',
		'NaN,NaN,NaN',
		'1,2',
		'9'.repeat(300),
		`${'9'.repeat(300)},1,1`,
		'0,0,0',
	]) {
		const {load} = codec.decodeResponse(200, {'server-load': value});
		assert.equal(load, undefined, value.slice(0, 20));
	}

	for (const value of ['1e308', '-1', 'NaN', '9'.repeat(300)]) {
		const {requestsPerSecond} = codec.decodeResponse(200, {
			'server-limit': value,
		});
		assert.equal(requestsPerSecond, undefined, value.slice(0, 20));
	}
});
