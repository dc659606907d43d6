import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type ApplyOutcome,
	type EditConflict,
	type IgnoreCode,
} from '../../contracts/control-log.js';
import {
	controlRecordSchema,
	type ControlRecord,
	type OrderIntent,
	type PlanChange,
} from '../../contracts/control-record.js';
import {
	fleetDocumentSchema,
	type FleetDocument,
} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type FailureDomain,
	type FencingToken,
	type Fingerprint,
	type HostId,
	type IncarnationId,
	type LeaseName,
	type LogOffset,
	type OrderId,
	type PoolName,
	type RecordId,
	type Revision,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {type StoredRecord} from '../../contracts/log-service.js';
import {groupLeaseName, planLeaseName} from '../leases/lease-names.js';
import {type DocumentValidator} from './document-validator.js';

// All limits count records or entries, never time, so that every host removes the same entries.
// An appender repeats a record for at most 30 s, which is 3000 records at 100 records per second.
const maximumRecordIds = 4096;
const maximumRevisions = 1000;
const maximumHosts = 2000;
const maximumTargetDeaths = 1000;
const maximumPlanChanges = 200;

/** An accepted edit of the document. */
export type RevisionEntry = {
	readonly revision: Revision;
	readonly operator: string;
	readonly summary: string;
	/** Wall-clock time of the edit in milliseconds. */
	readonly time: number;
	readonly offset: LogOffset;
};

/** State of a lease according to the log. The log has no expiry: each host decides by its own clock whether a lease has expired. */
export type LeaseState = {
	readonly lease: LeaseName;
	readonly holder: HostId;
	readonly incarnation: IncarnationId;
	readonly token: FencingToken;
	/** Offset of the last accepted record of this lease. A claim must contain it as its expected offset. */
	readonly lastOffset: LogOffset;
	readonly released: boolean;
	/** Why the holder claimed the lease. */
	readonly reason: string;
	/** Wall-clock time of the claim in milliseconds. */
	readonly time: number;
};

/** An artifact planned for a target, with the reason. */
export type PlannedArtifact = {
	readonly artifact: ArtifactKey;
	readonly reason: string;
	readonly time: number;
};

/** A plan change with the offset and time of the record that contained it. */
export type PlanChangeEntry = PlanChange & {
	readonly offset: LogOffset;
	readonly time: number;
};

/** The planned placement of artifacts on the targets of a pool. */
export type PoolPlan = {
	readonly token: FencingToken;
	readonly targets: ReadonlyMap<
		TargetId,
		ReadonlyMap<ArtifactKey, PlannedArtifact>
	>;
	/** The most recent changes, oldest first. */
	readonly recentChanges: readonly PlanChangeEntry[];
};

/** A recorded order that is not settled: it may still take effect on a target that does not honour fencing. */
export type OpenIntent = OrderIntent & {
	readonly lease: LeaseName;
	readonly token: FencingToken;
	readonly incarnation: IncarnationId;
	readonly offset: LogOffset;
};

/** The newest recorded incarnation of a host. */
export type HostRecord = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly failureDomain: FailureDomain;
	readonly peerAddress: string;
	/** Wall-clock time of the start in milliseconds. */
	readonly startedAt: number;
	/** Offset of the host-started record. */
	readonly startedOffset: LogOffset;
	readonly stopped: boolean;
};

/** The failure of one incarnation of a target, with the fingerprints of the requests in flight on it, combined over all hosts. */
export type TargetDeath = {
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
	/** Wall-clock time of the first record of the failure, in milliseconds. */
	readonly time: number;
	/** Offset of the first record of the failure. */
	readonly offset: LogOffset;
	readonly fingerprints: readonly Fingerprint[];
};

type MutablePlan = {
	token: FencingToken;
	targets: Map<TargetId, Map<ArtifactKey, PlannedArtifact>>;
	recentChanges: PlanChangeEntry[];
};

/** A snapshot that does not match the schema of this version. */
export class SnapshotError extends Error {
	override readonly name = 'SnapshotError';
}

const pairsSchema = <T>() =>
	z.array(z.tuple([z.string(), z.custom<T>((value) => value !== undefined)]));

const snapshotSchema = z.object({
	format: z.literal(1),
	next: z.number().int().nonnegative(),
	revision: z.number().int().nonnegative(),
	document: z.unknown().optional(),
	history: z.array(z.custom<RevisionEntry>()),
	leases: z.array(z.custom<LeaseState>()),
	plans: pairsSchema<{
		token: FencingToken;
		targets: Array<[TargetId, PlannedArtifact[]]>;
		recentChanges: PlanChangeEntry[];
	}>(),
	intents: z.array(z.custom<OpenIntent>()),
	hosts: z.array(z.custom<HostRecord>()),
	deaths: z.array(z.custom<TargetDeath>()),
	recordIds: z.array(z.string()),
});

/** Snapshot of a control state as JSON data. */
export type ControlSnapshot = z.infer<typeof snapshotSchema>;

/** State built by applying the records of the control stream in log order. Deterministic: the same records produce the same state on every host. */
export class ControlState {
	/** Restores a state from a snapshot. The document is validated against the schema again, because another version may have written it. */
	static restore(
		data: unknown,
		validator: DocumentValidator,
	): Result<ControlState, SnapshotError> {
		const parsed = snapshotSchema.safeParse(data);
		if (!parsed.success) {
			return err(
				new SnapshotError('The control snapshot does not match its schema.', {
					cause: parsed.error,
				}),
			);
		}

		const snapshot = parsed.data;
		const state = new ControlState(validator);
		if (snapshot.document !== undefined) {
			const document = fleetDocumentSchema.safeParse(snapshot.document);
			if (!document.success) {
				return err(
					new SnapshotError(
						'The fleet document in the control snapshot does not match its schema.',
						{
							cause: document.error,
						},
					),
				);
			}

			state.currentDocument = document.data;
		}

		state.nextUnappliedOffset = snapshot.next as LogOffset;
		state.currentRevision = snapshot.revision as Revision;
		state.revisions.push(...snapshot.history);
		for (const lease of snapshot.leases) {
			state.leaseStates.set(lease.lease, lease);
		}

		for (const [pool, plan] of snapshot.plans) {
			state.poolPlans.set(pool as PoolName, {
				token: plan.token,
				targets: new Map(
					plan.targets.map(([target, artifacts]) => [
						target,
						new Map(artifacts.map((item) => [item.artifact, item])),
					]),
				),
				recentChanges: [...plan.recentChanges],
			});
		}

		for (const intent of snapshot.intents) {
			state.intents.set(intent.orderId, intent);
		}

		for (const host of snapshot.hosts) {
			state.hostRecords.set(host.host, host);
		}

		for (const death of snapshot.deaths) {
			state.deaths.set(targetDeathKey(death), death);
		}

		for (const id of snapshot.recordIds) {
			state.recordIds.add(id as RecordId);
		}

		return ok(state);
	}

	private nextUnappliedOffset = 0 as LogOffset;
	private currentDocument: FleetDocument | undefined;
	private currentRevision = 0 as Revision;
	private readonly revisions: RevisionEntry[] = [];
	private readonly leaseStates = new Map<LeaseName, LeaseState>();
	private readonly poolPlans = new Map<PoolName, MutablePlan>();
	private readonly intents = new Map<OrderId, OpenIntent>();
	private readonly hostRecords = new Map<HostId, HostRecord>();
	private readonly deaths = new Map<string, TargetDeath>();
	private readonly recordIds = new Set<RecordId>();

	constructor(private readonly validator: DocumentValidator) {}

	/** Offset of the next record to apply. */
	get nextOffset(): LogOffset {
		return this.nextUnappliedOffset;
	}

	/** The current document, or undefined before the first one was accepted. */
	get document(): FleetDocument | undefined {
		return this.currentDocument;
	}

	/** Revision of the current document: the number of accepted documents. */
	get revision(): Revision {
		return this.currentRevision;
	}

	/** The most recent accepted edits, oldest first. At most 1000 are kept. */
	get history(): readonly RevisionEntry[] {
		return this.revisions;
	}

	/** All leases that were ever claimed, including released ones. */
	get leases(): ReadonlyMap<LeaseName, LeaseState> {
		return this.leaseStates;
	}

	/** The plan of each pool in the document. */
	get plans(): ReadonlyMap<PoolName, PoolPlan> {
		return this.poolPlans;
	}

	/** Unsettled orders by target, in log order. */
	get openIntents(): ReadonlyMap<TargetId, readonly OpenIntent[]> {
		return groupIntents(this.intents.values());
	}

	/** The newest incarnation of each host. At most 2000 hosts are kept. */
	get hosts(): ReadonlyMap<HostId, HostRecord> {
		return this.hostRecords;
	}

	/** The most recent target failures, oldest first. At most 1000 are kept. */
	get targetDeaths(): readonly TargetDeath[] {
		return [...this.deaths.values()];
	}

	/** True if the token belongs to the last accepted claim of the lease and the lease was not released. */
	isCurrentToken(lease: LeaseName, token: FencingToken): boolean {
		const current = this.leaseStates.get(lease);
		return current?.token === token && !current.released;
	}

	/** True if a record with this id is among the last 4096 applied records. */
	hasRecentRecord(id: RecordId): boolean {
		return this.recordIds.has(id);
	}

	/** Applies one record. Records must be applied in log order; a record that was already applied is ignored. */
	apply(record: StoredRecord): ApplyOutcome {
		const {offset} = record;
		if (offset < this.nextUnappliedOffset) {
			return ignored(
				offset,
				'already-folded',
				`The record at offset ${offset} was already applied.`,
			);
		}

		this.nextUnappliedOffset = (offset + 1) as LogOffset;
		if (this.recordIds.has(record.id)) {
			return ignored(
				offset,
				'duplicate',
				`Record ${record.id} was already applied at an earlier offset.`,
			);
		}

		this.recordIds.add(record.id);
		removeOldest(this.recordIds, maximumRecordIds);
		const parsed = controlRecordSchema.safeParse(record.body);
		return parsed.success
			? this.applyRecord(offset, parsed.data)
			: ignored(offset, 'malformed', z.prettifyError(parsed.error));
	}

	/** Returns the state as JSON data. Records applied later do not change it. */
	snapshot(): ControlSnapshot {
		return {
			format: 1,
			next: this.nextUnappliedOffset,
			revision: this.currentRevision,
			...(this.currentDocument && {document: this.currentDocument}),
			history: [...this.revisions],
			leases: [...this.leaseStates.values()],
			plans: [...this.poolPlans].map(([pool, plan]) => [
				pool,
				{
					token: plan.token,
					targets: [...plan.targets].map(([target, artifacts]) => [
						target,
						[...artifacts.values()],
					]),
					recentChanges: [...plan.recentChanges],
				},
			]),
			intents: [...this.intents.values()],
			hosts: [...this.hostRecords.values()],
			deaths: [...this.deaths.values()],
			recordIds: [...this.recordIds],
		};
	}

	private applyRecord(offset: LogOffset, record: ControlRecord): ApplyOutcome {
		switch (record.kind) {
			case 'host-started': {
				return this.applyHostStarted(offset, record);
			}

			case 'host-stopped': {
				return this.applyHostStopped(offset, record);
			}

			case 'document-submitted': {
				return this.applyDocument(offset, record);
			}

			case 'lease-claimed': {
				return this.applyClaim(offset, record);
			}

			case 'leases-renewed': {
				return this.applyRenewal(offset, record);
			}

			case 'lease-released': {
				return this.applyRelease(offset, record);
			}

			case 'plan-made': {
				return this.applyPlan(offset, record);
			}

			case 'orders-intended': {
				return this.applyIntents(offset, record);
			}

			case 'orders-settled': {
				return this.applySettlement(offset, record);
			}

			case 'target-died': {
				return this.applyDeath(offset, record);
			}
		}
	}

	private applyHostStarted(
		offset: LogOffset,
		record: ControlRecord & {kind: 'host-started'},
	): ApplyOutcome {
		// A host that starts again moves to the end, so that the oldest entry is removed first.
		this.hostRecords.delete(record.host);
		this.hostRecords.set(record.host, {
			host: record.host,
			incarnation: record.incarnation,
			failureDomain: record.failureDomain,
			peerAddress: record.peerAddress,
			startedAt: record.time,
			startedOffset: offset,
			stopped: false,
		});
		removeOldest(this.hostRecords, maximumHosts);
		return accepted(offset);
	}

	private applyHostStopped(
		offset: LogOffset,
		record: ControlRecord & {kind: 'host-stopped'},
	): ApplyOutcome {
		const host = this.hostRecords.get(record.host);
		if (host?.incarnation !== record.incarnation || host.stopped) {
			return ignored(
				offset,
				'no-change',
				`Incarnation ${record.incarnation} of host ${record.host} is not running.`,
			);
		}

		this.hostRecords.set(record.host, {...host, stopped: true});
		return accepted(offset);
	}

	private applyDocument(
		offset: LogOffset,
		record: ControlRecord & {kind: 'document-submitted'},
	): ApplyOutcome {
		if (record.expectedRevision !== this.currentRevision) {
			const latest = this.revisions.at(-1);
			return ignored(
				offset,
				'conflict',
				latest
					? `The edit expects revision ${record.expectedRevision}, but ${latest.operator} submitted revision ${latest.revision}.`
					: `The edit expects revision ${record.expectedRevision}, but no document has been accepted yet.`,
				latest && {revision: latest.revision, operator: latest.operator},
			);
		}

		const parsed = fleetDocumentSchema.safeParse(record.document);
		if (!parsed.success) {
			return ignored(offset, 'invalid-document', z.prettifyError(parsed.error));
		}

		const problems = this.validator.findProblems(parsed.data);
		if (problems.length > 0) {
			return ignored(offset, 'invalid-document', problems.join('\n'));
		}

		this.currentDocument = parsed.data;
		this.currentRevision = (this.currentRevision + 1) as Revision;
		this.revisions.push({
			revision: this.currentRevision,
			operator: record.operator,
			summary: record.summary,
			time: record.time,
			offset,
		});
		if (this.revisions.length > maximumRevisions) {
			this.revisions.shift();
		}

		this.removeObsoletePlans(parsed.data);
		return accepted(offset);
	}

	private applyClaim(
		offset: LogOffset,
		record: ControlRecord & {kind: 'lease-claimed'},
	): ApplyOutcome {
		const host = this.hostRecords.get(record.holder);
		if (host?.incarnation === record.incarnation && host.stopped) {
			return ignored(
				offset,
				'stopped-host',
				`Host ${record.holder} stopped before it claimed the lease.`,
			);
		}

		const current = this.leaseStates.get(record.lease);
		if ((current?.lastOffset ?? null) !== record.expectedOffset) {
			return ignored(
				offset,
				'stale-claim',
				`The offset of the last record of lease ${record.lease} is ${current?.lastOffset ?? 'none'}, but the claim expects ${record.expectedOffset ?? 'none'}.`,
			);
		}

		this.leaseStates.set(record.lease, {
			lease: record.lease,
			holder: record.holder,
			incarnation: record.incarnation,
			token: offset as number as FencingToken,
			lastOffset: offset,
			released: false,
			reason: record.reason,
			time: record.time,
		});
		return accepted(offset);
	}

	private applyRenewal(
		offset: LogOffset,
		record: ControlRecord & {kind: 'leases-renewed'},
	): ApplyOutcome {
		let renewed = 0;
		for (const {lease, token} of record.leases) {
			const current = this.leaseStates.get(lease);
			if (
				current &&
				this.isCurrentToken(lease, token) &&
				current.incarnation === record.incarnation
			) {
				this.leaseStates.set(lease, {...current, lastOffset: offset});
				renewed++;
			}
		}

		return renewed > 0
			? accepted(offset)
			: ignored(
					offset,
					'stale-token',
					'No lease in the renewal has a current token.',
				);
	}

	private applyRelease(
		offset: LogOffset,
		record: ControlRecord & {kind: 'lease-released'},
	): ApplyOutcome {
		const current = this.leaseStates.get(record.lease);
		if (!current || !this.isCurrentToken(record.lease, record.token)) {
			return this.ignoreStaleToken(offset, record.lease, record.token);
		}

		this.leaseStates.set(record.lease, {
			...current,
			released: true,
			lastOffset: offset,
		});
		return accepted(offset);
	}

	private applyPlan(
		offset: LogOffset,
		record: ControlRecord & {kind: 'plan-made'},
	): ApplyOutcome {
		const lease = planLeaseName(record.pool);
		if (!this.isCurrentToken(lease, record.token)) {
			return this.ignoreStaleToken(offset, lease, record.token);
		}

		const plan = this.poolPlans.get(record.pool) ?? {
			token: record.token,
			targets: new Map<TargetId, Map<ArtifactKey, PlannedArtifact>>(),
			recentChanges: [],
		};
		plan.token = record.token;
		this.poolPlans.set(record.pool, plan);
		for (const change of record.changes) {
			applyPlanChange(plan, change, record.time);
			plan.recentChanges.push({...change, offset, time: record.time});
		}

		const surplus = plan.recentChanges.length - maximumPlanChanges;
		plan.recentChanges.splice(0, Math.max(0, surplus));
		return accepted(offset);
	}

	private applyIntents(
		offset: LogOffset,
		record: ControlRecord & {kind: 'orders-intended'},
	): ApplyOutcome {
		const lease = this.leaseStates.get(record.lease);
		if (!lease || !this.isCurrentToken(record.lease, record.token)) {
			return this.ignoreStaleToken(offset, record.lease, record.token);
		}

		for (const order of record.orders) {
			// A document can move a target to another group. From that offset on, only the new owner may send
			// orders, so that two owners never allocate the same free memory.
			if (this.leaseOfTarget(order.target) !== record.lease) {
				return ignored(
					offset,
					'wrong-group',
					`Target ${order.target} does not belong to ${record.lease} in revision ${this.currentRevision}.`,
				);
			}

			if (this.intents.has(order.orderId)) {
				return ignored(
					offset,
					'no-change',
					`Order ${order.orderId} is already recorded.`,
				);
			}
		}

		for (const order of record.orders) {
			this.intents.set(order.orderId, {
				...order,
				lease: record.lease,
				token: record.token,
				incarnation: lease.incarnation,
				offset,
			});
		}

		return accepted(offset);
	}

	private applySettlement(
		offset: LogOffset,
		record: ControlRecord & {kind: 'orders-settled'},
	): ApplyOutcome {
		let settled = 0;
		for (const {orderId, outcome} of record.orders) {
			const intent = this.intents.get(orderId);
			// Only the sender can determine that an order was not sent or was refused; any other host would have to guess.
			const isSenderOnlyOutcome =
				outcome === 'not-sent' || outcome === 'refused';
			if (
				!intent ||
				(isSenderOnlyOutcome && intent.incarnation !== record.by)
			) {
				continue;
			}

			this.intents.delete(orderId);
			settled++;
		}

		return settled > 0
			? accepted(offset)
			: ignored(
					offset,
					'unknown-order',
					`The record contains no open order that ${record.by} may settle.`,
				);
	}

	private applyDeath(
		offset: LogOffset,
		record: ControlRecord & {kind: 'target-died'},
	): ApplyOutcome {
		const key = targetDeathKey(record);
		const existing = this.deaths.get(key);
		this.deaths.set(key, {
			target: record.target,
			targetIncarnation: record.targetIncarnation,
			time: existing?.time ?? record.time,
			offset: existing?.offset ?? offset,
			fingerprints: [
				...new Set([...(existing?.fingerprints ?? []), ...record.fingerprints]),
			],
		});
		removeOldest(this.deaths, maximumTargetDeaths);
		return accepted(offset);
	}

	private leaseOfTarget(target: TargetId): LeaseName | undefined {
		for (const pool of this.currentDocument?.pools ?? []) {
			const definition = pool.targets.find((item) => item.id === target);
			if (definition) {
				return groupLeaseName(pool.name, definition.failureDomain);
			}
		}

		return undefined;
	}

	private removeObsoletePlans(document: FleetDocument): void {
		for (const [name, plan] of this.poolPlans) {
			const pool = document.pools.find((item) => item.name === name);
			if (!pool) {
				this.poolPlans.delete(name);
				continue;
			}

			const targets = new Set(pool.targets.map((target) => target.id));
			for (const target of plan.targets.keys()) {
				if (!targets.has(target)) {
					plan.targets.delete(target);
				}
			}
		}
	}

	private ignoreStaleToken(
		offset: LogOffset,
		lease: LeaseName,
		token: FencingToken,
	): ApplyOutcome {
		const current = this.leaseStates.get(lease);
		return ignored(
			offset,
			'stale-token',
			`Token ${token} of lease ${lease} is not current: ${
				current
					? `${current.holder} holds token ${current.token}${current.released ? ', which was released' : ''}`
					: 'the lease was never claimed'
			}.`,
		);
	}
}

function accepted(offset: LogOffset): ApplyOutcome {
	return {accepted: true, offset};
}

function ignored(
	offset: LogOffset,
	code: IgnoreCode,
	reason: string,
	conflict?: EditConflict,
): ApplyOutcome {
	return {
		accepted: false,
		offset,
		code,
		reason,
		...(conflict && {conflict}),
	};
}

function targetDeathKey(death: {
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
}): string {
	return `${death.target}\n${death.targetIncarnation}`;
}

function applyPlanChange(
	plan: MutablePlan,
	change: PlanChange,
	time: number,
): void {
	const artifacts =
		plan.targets.get(change.target) ?? new Map<ArtifactKey, PlannedArtifact>();
	plan.targets.set(change.target, artifacts);
	if (change.desired) {
		artifacts.set(change.artifact, {
			artifact: change.artifact,
			reason: change.reason,
			time,
		});
		return;
	}

	artifacts.delete(change.artifact);
	if (artifacts.size === 0) {
		plan.targets.delete(change.target);
	}
}

function removeOldest<K>(
	collection: {
		readonly size: number;
		keys(): Iterator<K>;
		delete(key: K): boolean;
	},
	maximumSize: number,
): void {
	while (collection.size > maximumSize) {
		const oldest = collection.keys().next();
		if (oldest.done) {
			return;
		}

		collection.delete(oldest.value);
	}
}

function groupIntents(
	intents: Iterable<OpenIntent>,
): Map<TargetId, OpenIntent[]> {
	const groups = new Map<TargetId, OpenIntent[]>();
	for (const intent of intents) {
		const group = groups.get(intent.target) ?? [];
		group.push(intent);
		groups.set(intent.target, group);
	}

	return groups;
}
