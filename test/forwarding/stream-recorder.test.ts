import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync, okAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type PoolName,
	type RequestId,
	type SoftwareVersion,
} from '../../src/contracts/ids.js';
import {SharedStoreError, StreamLog} from '../../src/contracts/shared-store.js';
import {type StreamOrigin} from '../../src/contracts/stream-origin.js';
import {
	StreamRecorder,
	type StreamWriter,
} from '../../src/services/forwarding/state/stream-recorder.js';
import {waitUntil} from '../process/processes.js';
import {createSharing} from './stream-sharing.js';

const pool = 'p' as PoolName;
const [v1, v2] = ['v1', 'v2'] as [SoftwareVersion, SoftwareVersion];

class MemoryStreamLog extends StreamLog {
	records: StreamOrigin[] = [];
	appends = 0;
	reads = 0;
	isAvailable = true;

	append(origins: readonly StreamOrigin[]) {
		this.appends++;
		if (!this.isAvailable) {
			return errAsync(new SharedStoreError('unknown', 'away'));
		}

		this.records.push(...origins);
		return okAsync(undefined);
	}

	read(from: number | undefined) {
		this.reads++;
		return this.isAvailable
			? okAsync({
					origins: this.records.slice(from ?? 0),
					next: this.records.length,
				})
			: errAsync(new SharedStoreError('not-done', 'away'));
	}
}

function createRecorder(log: MemoryStreamLog, versions = [v1, v2]) {
	const clock = new ManualClock();
	const {sharing, versions: history} = createSharing(clock);
	for (const version of versions) {
		history.observe(pool, version);
	}

	const state: {writer: StreamWriter} = {writer: 'this-host'};
	const recorder = new StreamRecorder({
		log,
		streams: sharing,
		clock,
		random: new SeededRandomSource(1),
		events: new NullEventLogger(),
		metrics: new NullMetricRegistry(),
		writer: () => state.writer,
		hostCount: () => 1,
	});
	return {recorder, sharing, clock, state};
}

async function pause(): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, 1200);
	});
}

// Guards against streams that end with the hosts that know them.
test('a stream that one host writes is known to another one after a read', async (context) => {
	const log = new MemoryStreamLog();
	const [writer, reader] = [createRecorder(log), createRecorder(log)];
	context.after(() => {
		writer.recorder.dispose();
	});
	writer.sharing.recordStart('a' as RequestId, v1);
	void writer.recorder.run();
	await waitUntil('the stream is written', () => log.records.length === 1);
	assert.equal(reader.sharing.get('a' as RequestId), undefined);
	await reader.recorder.read();
	assert.equal(reader.sharing.get('a' as RequestId), v1);
	// What the store tells is not written again.
	assert.deepEqual(reader.sharing.changesForStore(0).origins, []);
});

// Guards against a call to the store for each unknown stream that a caller names.
test('reads are limited, and those at the same time are one', async () => {
	const log = new MemoryStreamLog();
	const {recorder, clock} = createRecorder(log);
	await Promise.all([recorder.read(), recorder.read(), recorder.read()]);
	await recorder.read();
	assert.equal(log.reads, 1);
	clock.advance(500);
	await recorder.read();
	assert.equal(log.reads, 2);
});

// Guards against calls of a fleet whose targets have one version, and of hosts whose receiver writes for them.
test('nothing is written while targets have one version, or another host writes', async (context) => {
	const log = new MemoryStreamLog();
	const [single, reporting] = [createRecorder(log, [v1]), createRecorder(log)];
	reporting.state.writer = 'receiver';
	for (const {recorder, sharing} of [single, reporting]) {
		context.after(() => {
			recorder.dispose();
		});
		sharing.recordStart('a' as RequestId, v1);
		void recorder.run();
	}

	await pause();
	assert.equal(log.appends, 0);
	// The receiver is lost, or is of an older build that writes nothing.
	reporting.state.writer = 'each-host';
	await waitUntil('the stream is written', () => log.records.length === 1);
});

test('what could not be written, and what a restored store has lost, is written again', async (context) => {
	const log = new MemoryStreamLog();
	log.isAvailable = false;
	const {recorder, sharing} = createRecorder(log);
	context.after(() => {
		recorder.dispose();
	});
	sharing.recordStart('a' as RequestId, v1);
	void recorder.run();
	await waitUntil('a failed write', () => log.appends > 0);
	log.isAvailable = true;
	await waitUntil('the stream is written', () => log.records.length === 1);
	log.records = [];
	recorder.handleRestore();
	await waitUntil('it is written again', () => log.records.length === 1);
});
