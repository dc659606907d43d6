import {v4 as uuid} from 'uuid';
import {HttpLogService} from '../../adapters/node/http-log-service.js';
import {SeededRandomSource} from '../../base/common/random-source.js';
import {controlRecordSchema} from '../../contracts/control-record.js';
import {type LogOffset, type RecordId} from '../../contracts/ids.js';
import {MeasuredProcess} from '../child-process.js';
import {buildFleetDocument} from './fleet-document.js';
import {programPath} from './fleet-run.js';
import {type FleetShape} from './fleet-shape.js';

/** Number and serialized bytes of the records of one kind in the control stream. */
export type KindCount = {records: number; bytes: number};

/** Propagation of document edits in a fleet of real hosts only. */
export type PropagationResult = {
	readonly hosts: number;
	readonly documentBytes: number;
	/** Time from the acknowledged append until the last host had the document in force, for each edit. */
	readonly milliseconds: readonly number[];
	readonly startKinds: ReadonlyMap<string, KindCount>;
	readonly steadyKinds: ReadonlyMap<string, KindCount>;
	readonly steadySeconds: number;
};

const settleMilliseconds = 3000;

/**
 * Starts real hosts, edits the document several times and reads from their log lines when each edit was in force.
 * Throws if the log service rejects a request or a log line does not appear in time.
 */
export async function measurePropagation(
	hosts: number,
	shape: FleetShape,
	options: {readonly edits: number; readonly seed: number},
): Promise<PropagationResult> {
	const environment = MeasuredProcess.start(programPath('world-main.js'), [
		JSON.stringify({...shape, members: 1, role: 'entry'}),
	]);
	const nodes: MeasuredProcess[] = [];
	try {
		const world = await environment.jsonLine(
			({kind}) => kind === 'world-started',
		);
		for (let index = 0; index < hosts; index++) {
			nodes.push(
				MeasuredProcess.start(programPath('node-main.js'), [
					JSON.stringify({
						world: {...world, host: `host-${index}`},
						warmUpMilliseconds: 120_000,
						windowMilliseconds: 1000,
					}),
				]),
			);
		}

		await waitUntilInForce(nodes, 1);
		await delay(settleMilliseconds);
		const log = new HttpLogService({
			address: String(world.log),
			responseTimeoutMilliseconds: 3000,
		});
		const startKinds = await countKinds(log, 0 as LogOffset);
		const steadyStart = startKinds.next;
		const steadyStartedAt = performance.now();
		await delay(settleMilliseconds / 2);
		const steadySeconds = (performance.now() - steadyStartedAt) / 1000;
		const steadyKinds = await countKinds(log, steadyStart);
		const random = new SeededRandomSource(options.seed);
		const milliseconds: number[] = [];
		for (let edit = 1; edit <= options.edits; edit++) {
			await delay(random.integer(300));
			const document = buildFleetDocument(shape, String(world.engines));
			const appended = await log.append('control', [
				{
					id: uuid() as RecordId,
					body: {
						kind: 'document-submitted',
						expectedRevision: edit,
						operator: 'measurement',
						summary: `edit ${edit}`,
						time: Date.now(),
						document,
					},
				},
			]);
			const acknowledgedAt = Date.now();
			appended._unsafeUnwrap();
			const last = Math.max(...(await waitUntilInForce(nodes, edit + 1)));
			milliseconds.push(last - acknowledgedAt);
		}

		await log.dispose();
		return {
			hosts,
			documentBytes: Number(world.documentBytes),
			milliseconds,
			startKinds: startKinds.kinds,
			steadyKinds: steadyKinds.kinds,
			steadySeconds,
		};
	} finally {
		await Promise.all([
			environment.stop(),
			...nodes.map(async (node) => node.stop()),
		]);
	}
}

/** Waits until all hosts have logged that a revision is in force. Returns the wall-clock times of the log lines. */
async function waitUntilInForce(
	nodes: readonly MeasuredProcess[],
	revision: number,
): Promise<number[]> {
	return Promise.all(
		nodes.map(async (node) => {
			const line = await node.jsonLine((value) => {
				const fields = value.fields as {revision?: number} | undefined;
				return (
					value.message === 'document-accepted' && fields?.revision === revision
				);
			});
			return Date.parse(String(line.timestamp));
		}),
	);
}

/** Counts the control records from an offset to the end of the stream, by kind. */
async function countKinds(
	log: HttpLogService,
	from: LogOffset,
): Promise<{kinds: Map<string, KindCount>; next: LogOffset}> {
	const kinds = new Map<string, KindCount>();
	let next = from;
	for (;;) {
		const read = await log.read('control', next, {
			limit: 500,
			waitMilliseconds: 0,
		});
		const batch = read._unsafeUnwrap();
		for (const record of batch.records) {
			const parsed = controlRecordSchema.safeParse(record.body);
			const kind = parsed.success ? parsed.data.kind : 'unknown';
			const count = kinds.get(kind) ?? {records: 0, bytes: 0};
			count.records++;
			count.bytes += JSON.stringify(record).length;
			kinds.set(kind, count);
		}

		next = batch.next;
		if (batch.records.length === 0) {
			return {kinds, next};
		}
	}
}

async function delay(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}
