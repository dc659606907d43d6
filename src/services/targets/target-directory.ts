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

/** Why a target gets no new work. */
export type UnavailabilityReason = 'leaving' | 'unreachable';

/** One target of the document in force, as this host sees it. */
export type TrackedTarget = {
	readonly definition: TargetDefinition;
	readonly pool: Pool;
	readonly engine: (Engine & Disposable) | undefined;
	readonly service: (PlainService & Disposable) | undefined;
	/** Newest report and the monotonic time at which it was true. */
	report: TargetReport | undefined;
	reportedAt: number;
	/** Set by the host list, a report or a refusal, whichever tells first. */
	unavailabilityReason: UnavailabilityReason | undefined;
	/** Monotonic time at which it was set. */
	unavailableSince: number;
	/** True while the host list shows the target as leaving. */
	isLeavingInHostList: boolean;
	/** What the target said it does not hold, with the monotonic time of that answer, until a later report. */
	readonly absentArtifacts: Map<ArtifactKey, number>;
};

/** A report that replaced an older one. */
export type ObservedReport = {
	readonly target: TrackedTarget;
	readonly previous: TargetReport | undefined;
};

/** Owns the connections to the targets of the document in force and what is known of them. */
export class TargetDirectory extends Disposable {
	readonly reportObserved = new TypedEvent<ObservedReport>();
	readonly targetRemoved = new TypedEvent<TargetId>();
	/** A target came, went, or may get work under other conditions than before. */
	readonly changed = new TypedEvent<TrackedTarget | undefined>();
	private readonly targets = new Map<TargetId, TrackedTarget>();

	constructor(
		private readonly connector: TargetConnector,
		private readonly clock: Clock,
	) {
		super();
	}

	/** Connects new targets and drops those that the document no longer names. */
	applyDocument(document: FleetDocument): void {
		const named = new Set<TargetId>();
		for (const pool of document.pools) {
			for (const definition of pool.targets) {
				named.add(definition.id);
				this.updateOrConnect(pool, definition);
			}
		}

		for (const [id, target] of this.targets) {
			if (named.has(id)) {
				continue;
			}

			this.targets.delete(id);
			dropConnections(target);
			this.targetRemoved.publish(id);
		}

		this.changed.publish(undefined);
	}

	/** Finds a target. */
	target(id: TargetId): TrackedTarget | undefined {
		return this.targets.get(id);
	}

	/** All targets of a pool. */
	targetsInPool(pool: PoolName): TrackedTarget[] {
		return [...this.targets.values()].filter(
			(target) => target.pool.name === pool,
		);
	}

	/** All targets. */
	all(): TrackedTarget[] {
		return [...this.targets.values()];
	}

	/** Takes in a report unless a newer one of the same run of the target is known. */
	observeReport(report: TargetReport, ageMilliseconds: number): void {
		const target = this.targets.get(report.target);
		if (!target) {
			return;
		}

		const previous = target.report;
		const reportedAt = this.clock.monotonic() - ageMilliseconds;
		const isSameRun = previous?.incarnation === report.incarnation;
		if (previous && isSameRun && report.sequence < previous.sequence) {
			return;
		}

		if (previous && !isSameRun && reportedAt < target.reportedAt) {
			return;
		}

		target.report = report;
		target.reportedAt = reportedAt;
		for (const [artifact, since] of target.absentArtifacts) {
			if (!isSameRun || reportedAt > since) {
				target.absentArtifacts.delete(artifact);
			}
		}

		if (report.leaving) {
			this.setUnavailable(target, 'leaving');
		} else if (this.isAvailabilityRestored(target, isSameRun)) {
			target.unavailabilityReason = undefined;
		}

		this.reportObserved.publish({target, previous});
		this.changed.publish(target);
	}

	/** Notes that a target must get no new work until a later report says otherwise. */
	markUnavailable(id: TargetId, reason: UnavailabilityReason): void {
		const target = this.targets.get(id);
		if (!target || target.unavailabilityReason === 'leaving') {
			return;
		}

		this.setUnavailable(target, reason);
		this.changed.publish(target);
	}

	/** Notes that a target refused work for lack of an artifact, whatever its last report says. */
	markArtifactAbsent(id: TargetId, artifact: ArtifactKey): void {
		const target = this.targets.get(id);
		if (!target) {
			return;
		}

		target.absentArtifacts.set(artifact, this.clock.monotonic());
		this.changed.publish(target);
	}

	/** Takes in the platform's list of leaving machines, which names targets by their id. */
	applyHostList(entries: readonly HostListEntry[]): void {
		const leaving = new Set<string>(
			entries
				.filter((entry) => entry.state === 'leaving')
				.map((entry) => entry.name),
		);
		for (const target of this.targets.values()) {
			const isListedLeaving = leaving.has(target.definition.id);
			if (isListedLeaving === target.isLeavingInHostList) {
				continue;
			}

			target.isLeavingInHostList = isListedLeaving;
			if (isListedLeaving) {
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

	/** A report from before the loss proves nothing, and a leaving run of a target does not come back. */
	private isAvailabilityRestored(
		target: TrackedTarget,
		isSameRun: boolean,
	): boolean {
		if (target.isLeavingInHostList) {
			return false;
		}

		if (target.unavailabilityReason === 'leaving') {
			return !isSameRun;
		}

		return target.reportedAt > target.unavailableSince;
	}

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

/** Closes idle connections now and busy ones when their exchange ends, so that a change of the document cuts no answer. */
function dropConnections(target: TrackedTarget): void {
	target.engine?.dropConnections();
	target.service?.dropConnections();
}

function disposeConnections(target: TrackedTarget): void {
	void target.engine?.dispose();
	void target.service?.dispose();
}
