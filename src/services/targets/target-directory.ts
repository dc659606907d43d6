import {type Clock} from '../../base/common/clock.js';
import {Disposable} from '../../base/common/disposable.js';
import {TypedEvent} from '../../base/common/typed-event.js';
import {type Engine, type TargetReport} from '../../contracts/engine.js';
import {
	type FleetDocument,
	type Pool,
	type TargetDefinition,
} from '../../contracts/fleet-document.js';
import {type HostListEntry} from '../../contracts/host-list.js';
import {
	type ArtifactKey,
	type PoolName,
	type TargetId,
} from '../../contracts/ids.js';
import {type PlainService} from '../../contracts/plain-service.js';
import {type TargetConnector} from '../../contracts/target-connector.js';

/** Why a target must not receive new requests. */
export type UnavailabilityReason = 'leaving' | 'unreachable';

/** A target of the document in force, with the state that this host has observed. */
export type TrackedTarget = {
	readonly definition: TargetDefinition;
	readonly pool: Pool;
	/** Connection to the target, if its pool is one of engines. */
	readonly engine: (Engine & Disposable) | undefined;
	/** Connection to the target, if its pool is one of plain services. */
	readonly service: (PlainService & Disposable) | undefined;
	/** Newest report. */
	report: TargetReport | undefined;
	/** Monotonic time in milliseconds at which the newest report was current, negative infinity before the first one. */
	reportedAt: number;
	/** Set by the host list, a report, a refusal or a failed connection. Undefined while the target is available. */
	unavailabilityReason: UnavailabilityReason | undefined;
	/** Monotonic time in milliseconds at which the reason was last set. */
	unavailableSince: number;
	/** True while the host list names the target as leaving. */
	isLeavingInHostList: boolean;
	/**
	 * Artifacts for whose absence the target refused a request, with the monotonic time of the refusal in
	 * milliseconds. An entry is removed by a later report.
	 */
	readonly absentArtifacts: Map<ArtifactKey, number>;
};

/** A newly observed report of a target. */
export type ObservedReport = {
	readonly target: TrackedTarget;
	/** The report that it replaced, if any. */
	readonly previous: TargetReport | undefined;
};

/** Owns the connections to the targets of the document in force and tracks their state. */
export class TargetDirectory extends Disposable {
	/** Fires when a report has replaced an older one or is the first of its target. */
	readonly reportObserved = new TypedEvent<ObservedReport>();
	/** Fires when the document no longer contains a target. */
	readonly targetRemoved = new TypedEvent<TargetId>();
	/** Fires when the state of the given target has changed, or with undefined when a document was applied. */
	readonly changed = new TypedEvent<TrackedTarget | undefined>();
	private readonly targets = new Map<TargetId, TrackedTarget>();

	constructor(
		private readonly connector: TargetConnector,
		private readonly clock: Clock,
	) {
		super();
	}

	/** Connects new targets and removes those that the document no longer contains. */
	applyDocument(document: FleetDocument): void {
		const targetIds = new Set<TargetId>();
		for (const pool of document.pools) {
			for (const definition of pool.targets) {
				targetIds.add(definition.id);
				this.updateOrConnect(pool, definition);
			}
		}

		for (const [id, target] of this.targets) {
			if (targetIds.has(id)) {
				continue;
			}

			this.targets.delete(id);
			dropConnections(target);
			this.targetRemoved.publish(id);
		}

		this.changed.publish(undefined);
	}

	/** Returns a target, or undefined if the document does not contain it. */
	target(id: TargetId): TrackedTarget | undefined {
		return this.targets.get(id);
	}

	targetsInPool(pool: PoolName): TrackedTarget[] {
		return [...this.targets.values()].filter(
			(target) => target.pool.name === pool,
		);
	}

	all(): TrackedTarget[] {
		return [...this.targets.values()];
	}

	/**
	 * Records a report that was current `ageMilliseconds` ago. Ignores it if the target is not in the document,
	 * if a report of the same incarnation has a higher sequence number, or if a report of another incarnation
	 * was current at a later time.
	 */
	observeReport(report: TargetReport, ageMilliseconds: number): void {
		const target = this.targets.get(report.target);
		if (!target) {
			return;
		}

		const previous = target.report;
		const reportedAt = this.clock.monotonic() - ageMilliseconds;
		const isSameIncarnation = previous?.incarnation === report.incarnation;
		if (previous && isSameIncarnation && report.sequence < previous.sequence) {
			return;
		}

		if (previous && !isSameIncarnation && reportedAt < target.reportedAt) {
			return;
		}

		target.report = report;
		target.reportedAt = reportedAt;
		for (const [artifact, since] of target.absentArtifacts) {
			if (!isSameIncarnation || reportedAt > since) {
				target.absentArtifacts.delete(artifact);
			}
		}

		if (report.leaving) {
			this.setUnavailable(target, 'leaving');
		} else if (this.isAvailabilityRestored(target, isSameIncarnation)) {
			target.unavailabilityReason = undefined;
		}

		this.reportObserved.publish({target, previous});
		this.changed.publish(target);
	}

	/** Marks a target as unavailable for new requests until a later report shows otherwise. A leaving target stays leaving. */
	markUnavailable(id: TargetId, reason: UnavailabilityReason): void {
		const target = this.targets.get(id);
		if (!target || target.unavailabilityReason === 'leaving') {
			return;
		}

		this.setUnavailable(target, reason);
		this.changed.publish(target);
	}

	/** Records that a target refused a request because it lacks an artifact. This overrides its last report. */
	markArtifactAbsent(id: TargetId, artifact: ArtifactKey): void {
		const target = this.targets.get(id);
		if (!target) {
			return;
		}

		target.absentArtifacts.set(artifact, this.clock.monotonic());
		this.changed.publish(target);
	}

	/** Applies the platform's host list, which names targets by their id and shows which of them are leaving. */
	applyHostList(entries: readonly HostListEntry[]): void {
		const leaving = new Set<string>(
			entries
				.filter((entry) => entry.state === 'leaving')
				.map((entry) => entry.name),
		);
		for (const target of this.targets.values()) {
			const isLeavingInHostList = leaving.has(target.definition.id);
			if (isLeavingInHostList === target.isLeavingInHostList) {
				continue;
			}

			target.isLeavingInHostList = isLeavingInHostList;
			if (isLeavingInHostList) {
				this.setUnavailable(target, 'leaving');
			} else if (!target.report?.leaving) {
				target.unavailabilityReason = undefined;
			}

			this.changed.publish(target);
		}
	}

	dispose(): void {
		for (const target of this.targets.values()) {
			disposeConnections(target);
		}

		this.targets.clear();
	}

	private setUnavailable(
		target: TrackedTarget,
		reason: UnavailabilityReason,
	): void {
		target.unavailabilityReason = reason;
		target.unavailableSince = this.clock.monotonic();
	}

	/**
	 * Whether the recorded report makes the target available again. A report from before the failure is not
	 * evidence, and an incarnation that is leaving does not return.
	 */
	private isAvailabilityRestored(
		target: TrackedTarget,
		isSameIncarnation: boolean,
	): boolean {
		if (target.isLeavingInHostList) {
			return false;
		}

		if (target.unavailabilityReason === 'leaving') {
			return !isSameIncarnation;
		}

		return target.reportedAt > target.unavailableSince;
	}

	/** Keeps the connection of a target if its address and the kind of its pool are unchanged, otherwise replaces it. */
	private updateOrConnect(pool: Pool, definition: TargetDefinition): void {
		const current = this.targets.get(definition.id);
		if (
			current?.definition.address === definition.address &&
			current.pool.kind === pool.kind
		) {
			this.targets.set(definition.id, {...current, pool, definition});
			return;
		}

		if (current) {
			dropConnections(current);
		}

		const isEngine = pool.kind === 'engine';
		this.targets.set(definition.id, {
			definition,
			pool,
			engine: isEngine ? this.connector.connectEngine(definition) : undefined,
			service: isEngine ? undefined : this.connector.connectService(definition),
			report: undefined,
			reportedAt: Number.NEGATIVE_INFINITY,
			unavailabilityReason: undefined,
			unavailableSince: Number.NEGATIVE_INFINITY,
			isLeavingInHostList: false,
			absentArtifacts: new Map(),
		});
	}
}

/**
 * Closes idle connections now and busy ones when their exchange ends, so that a change of the document does
 * not interrupt responses.
 */
function dropConnections(target: TrackedTarget): void {
	target.engine?.dropConnections();
	target.service?.dropConnections();
}

function disposeConnections(target: TrackedTarget): void {
	void target.engine?.dispose();
	void target.service?.dispose();
}
