import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as yieldToLoop} from 'node:timers/promises';
import fc from 'fast-check';
import {type ResultAsync} from 'neverthrow';
import {type ControlRecord} from '../../src/contracts/control-record.js';
import {type FencingToken, type LogOffset} from '../../src/contracts/ids.js';
import {
	type LogRecord,
	type StoredRecord,
	type StreamName,
} from '../../src/contracts/log-service.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {planLease, TestHost, waitUntil} from './harness.js';

const seed = Number(process.env.DAISYLEVER_SEED ?? 20_261_204);
const hostCount = 3;

/** A log that also retains the records that its retention removes, for the reference model. */
class RecordingLog extends MemoryLogService {
	readonly control: StoredRecord[] = [];

	override append(stream: StreamName, records: readonly LogRecord[]) {
		const before = this.appendedRecords;
		const result = super.append(stream, records);
		if (stream === 'control' && this.appendedRecords > before) {
			for (const record of records) {
				const offset = this.control.length as LogOffset;
				this.control.push({...record, offset});
			}
		}

		return result;
	}
}

/** Reference model: computes the expected state from all records. */
function expectedState(records: readonly StoredRecord[]) {
	const seen = new Set<string>();
	const edits: string[] = [];
	let leaseOffset: number | null = null;
	let token: number | undefined;
	let plans = 0;
	for (const {id, body, offset} of records) {
		const record = body as ControlRecord;
		if (seen.has(id)) {
			continue;
		}

		seen.add(id);
		if (
			record.kind === 'document-submitted' &&
			record.expectedRevision === edits.length
		) {
			edits.push(`${record.operator} ${record.summary} at ${offset}`);
		} else if (
			record.kind === 'lease-claimed' &&
			record.expectedOffset === leaseOffset
		) {
			leaseOffset = offset;
			token = offset;
		} else if (record.kind === 'plan-made' && record.token === token) {
			plans++;
		}
	}

	return {edits, token, plans};
}

type Step =
	| {
			kind: 'edit' | 'claim' | 'plan' | 'pause' | 'resume' | 'snapshot';
			host: number;
	  }
	| {kind: 'replace'; host: number}
	| {kind: 'replace-all' | 'outage' | 'recover' | 'trim' | 'settle'}
	| {kind: 'lose'; count: number};

const host = fc.nat({max: hostCount - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constantFrom('edit', 'claim', 'plan'),
			host,
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constantFrom('pause', 'resume', 'snapshot', 'replace'),
			host,
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constantFrom(
				'replace-all',
				'outage',
				'recover',
				'trim',
				'settle',
			),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			kind: fc.constant('lose'),
			count: fc.integer({min: 1, max: 3}),
		}),
	},
);

class Fleet {
	readonly log = new RecordingLog();
	readonly acceptedEdits = new Set<string>();
	hosts = Array.from({length: hostCount}, (_, index) => this.startHost(index));
	private edits = 0;
	private pending = 0;

	async run(steps: readonly Step[]): Promise<void> {
		try {
			for (const item of steps) {
				await this.perform(item);
				await yieldToLoop();
			}

			await this.settle();
		} finally {
			await Promise.all(this.hosts.map(async (item) => item.dispose()));
		}
	}

	private startHost(index: number): TestHost {
		const created = new TestHost(this.log, `host-${index}`);
		let revision = 0;
		const checkRevision = () => {
			assert.ok(
				created.control.revision >= revision,
				`The revision of a host decreased from ${revision} to ${created.control.revision}.`,
			);
			revision = created.control.revision;
		};

		created.follower.recordApplied.subscribe(checkRevision);
		created.follower.stateRestored.subscribe(checkRevision);
		return created;
	}

	private async perform(item: Step): Promise<void> {
		switch (item.kind) {
			case 'edit': {
				this.edits++;
				const name = `edit-${this.edits}`;
				const editor = this.hosts[item.host]!;
				const edit = editor.edit(name).map((outcome) => {
					if (outcome.accepted) {
						this.acceptedEdits.add(
							`${editor.host} ${name} at ${outcome.offset}`,
						);
					}

					return outcome;
				});
				void this.track(edit);
				return;
			}

			case 'claim': {
				void this.track(this.hosts[item.host]!.claim(planLease));
				return;
			}

			case 'plan': {
				this.plan(this.hosts[item.host]!);
				return;
			}

			case 'pause': {
				this.hosts[item.host]!.log.pause();
				return;
			}

			case 'resume': {
				this.hosts[item.host]!.log.resume();
				return;
			}

			case 'snapshot': {
				void this.hosts[item.host]!.snapshots.tick();
				return;
			}

			case 'replace': {
				await this.hosts[item.host]!.dispose();
				this.hosts[item.host] = this.startHost(item.host);
				return;
			}

			case 'replace-all': {
				await Promise.all(this.hosts.map(async (old) => old.dispose()));
				this.hosts = this.hosts.map((_, index) => this.startHost(index));
				return;
			}

			case 'outage': {
				this.log.setOutage(true);
				return;
			}

			case 'recover': {
				this.log.setOutage(false);
				return;
			}

			case 'lose': {
				this.log.loseAppendResponses(item.count);
				return;
			}

			case 'trim': {
				await this.trim();
				return;
			}

			case 'settle': {
				await this.settle();
			}
		}
	}

	/** Submits a plan with the last fencing token that the host has applied for itself, which may be stale. */
	private plan(planner: TestHost): void {
		const lease = planner.control.leases.get(planLease);
		if (lease?.holder !== planner.host) {
			return;
		}

		const plan = planner.follower.submit({
			kind: 'plan-made',
			pool: 'engines' as never,
			token: lease.token,
			changes: [
				{
					target: 'engine-1' as never,
					artifact: 'model/base@1' as never,
					desired: true,
					reason: 'test',
				},
			],
			time: 0,
		});
		void this.track(plan);
	}

	private async track(
		submission: ResultAsync<unknown, unknown>,
	): Promise<void> {
		this.pending++;
		await submission;
		this.pending--;
	}

	/** Removes the records before the newest snapshot from the log. */
	private async trim(): Promise<void> {
		const bounds = await this.log.readBounds('snapshots');
		if (bounds.isErr() || bounds.value.next === bounds.value.earliest) {
			return;
		}

		const last = (bounds.value.next - 1) as LogOffset;
		const read = await this.log.read('snapshots', last, {
			limit: 1,
			waitMilliseconds: 0,
		});
		const body = read._unsafeUnwrap().records[0]!.body as {next: number};
		this.log.setRetention(Math.max(1, this.log.control.length - body.next));
		this.log.setRetention(Number.POSITIVE_INFINITY);
	}

	private async settle(): Promise<void> {
		this.log.setOutage(false);
		this.log.loseAppendResponses(0);
		for (const item of this.hosts) {
			item.log.resume();
		}

		// The check runs in the same turn in which all hosts have caught up, because an append that a
		// pause delayed can take effect in any later turn.
		await waitUntil(() => {
			const isCaughtUp =
				this.pending === 0 &&
				this.hosts.every(
					(item) =>
						item.follower.state === 'following' &&
						item.control.nextOffset === this.log.control.length,
				);
			if (isCaughtUp) {
				this.check();
			}

			return isCaughtUp;
		}, 'all submissions end and all hosts apply all records');
	}

	private check(): void {
		const expected = expectedState(this.log.control);
		for (const {control} of this.hosts) {
			assert.deepEqual(control.snapshot(), this.hosts[0]!.control.snapshot());
			assert.equal(control.revision, expected.edits.length);
			assert.deepEqual(
				control.history.map(
					(entry) => `${entry.operator} ${entry.summary} at ${entry.offset}`,
				),
				expected.edits,
			);
			assert.equal(
				control.leases.get(planLease)?.token,
				expected.token as FencingToken | undefined,
			);
			assert.equal(
				control.plans.get('engines' as never)?.recentChanges.length ?? 0,
				expected.plans,
			);
		}

		for (const edit of this.acceptedEdits) {
			assert.ok(
				expected.edits.includes(edit),
				`An accepted edit was lost: ${edit}`,
			);
		}
	}
}

// Guards against diverging hosts, reverted or lost edits and two current tokens, under any order of lost
// responses, outages, pauses, conflicting edits, starts without state, snapshots and retention.
test(`all hosts reach the same control state under faults (seed ${seed})`, async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(step, {minLength: 5, maxLength: 60, size: 'max'}),
			async (steps) => new Fleet().run(steps),
		),
		{
			seed,
			includeErrorInReport: true,
			numRuns: Number(process.env.DAISYLEVER_RUNS ?? 100),
		},
	);
});
