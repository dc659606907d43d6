import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {type Clock} from '../base/common/clock.js';
import {
	type ArtifactKey,
	type HostId,
	type IncarnationId,
	type OrderId,
	type Revision,
} from '../contracts/ids.js';
import {type BurnRateTracker} from '../core/burn/burn-rate.js';
import {createBurnReport, type BurnReport} from '../core/burn/burn-report.js';
import {
	type DecisionJournal,
	type DecisionQuery,
	type JournalEntry,
} from './decision-journal.js';
import {type HostAdmissionGate} from './entry/host-admission-gate.js';
import {type HistogramMetricRegistry} from './histogram-metric-registry.js';
import {type LogFollower} from './log-follower.js';
import {type MembershipTask} from './membership-task.js';
import {
	NotRecordedError,
	OperatorBackend,
	RecordRefusedError,
	RevisionConflictError,
	UnknownOrderError,
	type DocumentInForce,
	type DocumentSubmission,
	type FleetStatus,
	type HistoryEntry,
	type LeaseStatus,
	type MemberStatus,
	type OpenOrder,
	type OperatorBackendError,
	type PoolStatus,
	type TargetStatus,
} from './operator-backend.js';
import {
	type TrackedTarget,
	type TargetDirectory,
} from './targets/target-directory.js';

/** Services and data that the backend reads. */
export type HostOperatorBackendOptions = {
	readonly host: HostId;
	readonly incarnation: IncarnationId;
	readonly failureDomain: string;
	readonly follower: LogFollower;
	readonly membership: MembershipTask;
	readonly targets: TargetDirectory;
	readonly gate: HostAdmissionGate;
	readonly journal: DecisionJournal;
	readonly burnRates: BurnRateTracker;
	readonly metrics: HistogramMetricRegistry;
	readonly clock: Clock;
	/** Returns the bytes of open orders that a target is charged in addition to its reported bytes. */
	readonly openOrderBytes: (target: TrackedTarget) => number;
};

/** Serves operator requests from the state of this host. */
export class HostOperatorBackend extends OperatorBackend {
	constructor(private readonly options: HostOperatorBackendOptions) {
		super();
	}

	document(): DocumentInForce | undefined {
		const {document, revision} = this.options.follower.control;
		return document ? {document, revision} : undefined;
	}

	history(): readonly HistoryEntry[] {
		return this.options.follower.control.history;
	}

	submit(
		submission: DocumentSubmission,
	): ResultAsync<Revision, OperatorBackendError> {
		const {follower, clock} = this.options;
		const expected = submission.expectedRevision;
		const conflict = this.findRevisionConflict(expected);
		if (conflict) {
			return errAsync(conflict);
		}

		return follower
			.submit({
				kind: 'document-submitted',
				expectedRevision: expected,
				operator: submission.operator,
				summary: submission.summary,
				time: clock.wall(),
				document: submission.document,
			})
			.mapErr(
				(cause): OperatorBackendError =>
					new NotRecordedError(
						'The log service did not confirm the document.',
						{cause},
					),
			)
			.andThen((outcome) => {
				if (outcome.accepted) {
					return okAsync((expected + 1) as Revision);
				}

				return errAsync(
					this.findRevisionConflict(expected) ??
						new RecordRefusedError(outcome.reason),
				);
			});
	}

	status(): FleetStatus {
		const {follower} = this.options;
		return {
			host: this.options.host,
			revision: follower.control.revision,
			logReachable: follower.logReachableSince !== undefined,
			members: this.memberStatuses(),
			leases: this.leaseStatuses(),
			pools: this.poolStatuses(),
		};
	}

	explain(
		query: DecisionQuery,
	): ResultAsync<readonly JournalEntry[], OperatorBackendError> {
		return okAsync(this.options.journal.query(query));
	}

	burn(): ResultAsync<BurnReport, OperatorBackendError> {
		const {follower, burnRates, clock} = this.options;
		const classes = follower.control.document?.callerClasses ?? [];
		const periods = Object.fromEntries(
			classes.map(({name, objectives}) => [name, objectives.periodDays]),
		);
		return okAsync(
			createBurnReport(classes, burnRates.counts(periods), clock.wall()),
		);
	}

	openOrders(): readonly OpenOrder[] {
		const {follower, membership, incarnation} = this.options;
		const live = new Set(
			membership.members
				.filter((member) => member.status !== 'gone')
				.map((member) => member.incarnation),
		);
		live.add(incarnation);
		return [...follower.control.openIntents.values()].flat().map((intent) => ({
			orderId: intent.orderId,
			target: intent.target,
			action: intent.action,
			artifact: intent.artifact,
			bytes: intent.bytes,
			holder: intent.incarnation,
			holderLive: live.has(intent.incarnation),
		}));
	}

	settle(
		orders: readonly OrderId[],
		operator: string,
	): ResultAsync<void, OperatorBackendError> {
		const open = new Set(this.openOrders().map((order) => order.orderId));
		const unknown = orders.filter((order) => !open.has(order));
		if (unknown.length > 0) {
			return errAsync(new UnknownOrderError(unknown));
		}

		return this.options.follower
			.submit({
				kind: 'orders-settled',
				orders: orders.map((orderId) => ({orderId, outcome: 'operator'})),
				by: operator,
			})
			.mapErr(
				(cause): OperatorBackendError =>
					new NotRecordedError(
						'The log service did not confirm the settlement of the orders.',
						{cause},
					),
			)
			.andThen((outcome) =>
				outcome.accepted
					? okAsync(undefined)
					: errAsync(new RecordRefusedError(outcome.reason)),
			);
	}

	notReadyReasons(): readonly string[] {
		const admission = this.options.gate.admit();
		return admission.isOk() ? [] : [admission.error.code];
	}

	metrics(): string {
		return this.options.metrics.exposition();
	}

	private findRevisionConflict(
		expected: Revision,
	): RevisionConflictError | undefined {
		const {revision, history} = this.options.follower.control;
		if (revision === expected) {
			return undefined;
		}

		const winner = history.at(-1)?.operator ?? 'nobody';
		return new RevisionConflictError(expected, revision, winner);
	}

	private memberStatuses(): MemberStatus[] {
		const {host, incarnation, failureDomain, follower, membership, gate} =
			this.options;
		const now = this.options.clock.monotonic();
		const own: MemberStatus = {
			host,
			incarnation,
			failureDomain,
			state: membership.isLeaving ? 'leaving' : 'live',
			ready: gate.isAdmitting,
			revision: follower.control.revision,
			controlOffset: follower.control.nextOffset,
			ageMilliseconds: 0,
		};
		const others = membership.members.map((member): MemberStatus => {
			const state = membership.stateOf(member.host);
			return {
				host: member.host,
				incarnation: member.incarnation,
				failureDomain: member.failureDomain,
				state: member.status,
				ready: state?.ready ?? false,
				revision: Number(state?.revision ?? 0),
				controlOffset: Number(state?.controlOffset ?? 0),
				ageMilliseconds: Math.round(
					member.lastHeartbeatAt === undefined
						? -1
						: now - member.lastHeartbeatAt,
				),
			};
		});
		return [own, ...others];
	}

	private leaseStatuses(): LeaseStatus[] {
		const wall = this.options.clock.wall();
		return [...this.options.follower.control.leases.values()].map((lease) => ({
			lease: lease.lease,
			holder: lease.released ? null : lease.holder,
			token: lease.token,
			ageMilliseconds: Math.max(0, wall - lease.time),
			reason: lease.reason,
		}));
	}

	private poolStatuses(): PoolStatus[] {
		const {follower, targets} = this.options;
		return (follower.control.document?.pools ?? []).map((pool) => ({
			pool: pool.name,
			kind: pool.kind,
			targets: targets
				.targetsInPool(pool.name)
				.map((target) => this.targetStatus(target)),
		}));
	}

	private targetStatus(target: TrackedTarget): TargetStatus {
		const {report, definition, pool} = target;
		const planned =
			this.options.follower.control.plans
				.get(pool.name)
				?.targets.get(definition.id) ??
			new Map<ArtifactKey, {readonly reason: string}>();
		const reported = new Map(
			(report?.artifacts ?? []).map((artifact) => [artifact.key, artifact]),
		);
		const reportedBytes = [...reported.values()].reduce(
			(sum, artifact) => sum + artifact.bytes,
			0,
		);
		return {
			target: definition.id,
			failureDomain: definition.failureDomain,
			state: targetState(target),
			memoryBytes: report?.memoryBytes ?? definition.memoryBytes,
			reportedBytes,
			chargedBytes: reportedBytes + this.options.openOrderBytes(target),
			running: report?.running ?? 0,
			queued: report?.queued ?? 0,
			reportAgeMilliseconds: report
				? Math.round(this.options.clock.monotonic() - target.reportedAt)
				: null,
			artifacts: [...new Set([...planned.keys(), ...reported.keys()])].map(
				(artifact) => ({
					artifact,
					state: reported.get(artifact)?.state ?? 'planned',
					desired: planned.has(artifact),
					reason: planned.get(artifact)?.reason,
				}),
			),
		};
	}
}

function targetState(target: TrackedTarget): TargetStatus['state'] {
	if (target.unavailabilityReason === 'leaving') {
		return 'leaving';
	}

	if (target.unavailabilityReason === 'unreachable') {
		return 'suspect';
	}

	return target.report !== undefined || target.service !== undefined
		? 'live'
		: 'unknown';
}
