import {type Clock} from '../../base/common/clock.js';
import {type Disposable} from '../../base/common/disposable.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type ControlLog} from '../../contracts/control-log.js';
import {entryEvents} from '../../contracts/events/entry-events.js';
import {
	type Fingerprint,
	type HostId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {
	QuarantinePolicy,
	type QuarantineStatus,
	type TargetDeath,
} from '../../core/quarantine-policy.js';

/** Collaborators of the quarantine manager. */
export type QuarantineManagerOptions = {
	readonly host: HostId;
	readonly control: ControlLog;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** Sends the sightings of this host to its peers at once instead of with the next heartbeat. */
	readonly notifyPeers: () => Promise<void>;
};

/** A request that was in flight on a target when the target died. Peers exchange sightings in heartbeats. */
export type DeathSighting = {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
};

type TimedSighting = DeathSighting & {readonly observedAt: number};

// Heartbeats repeat a sighting for this time, so that peers receive it during a log outage too.
const sightingTimeToLiveMilliseconds = 60_000;
const maximumSightings = 200;

// Requests that were in flight on one target detect its death one after the other. Their fingerprints are collected into
// one record.
const collectionDelayMilliseconds = 20;

// A retry waits until the peers are notified of the death, because a repetition of the request through another host would
// crash another target. The timeout bounds the delay if a peer does not respond.
const notificationTimeoutMilliseconds = 500;

type PendingDeathReport = {
	readonly fingerprints: Set<Fingerprint>;
	readonly peersNotified: Promise<void>;
};

/** Tracks on this host which requests crash targets, and shares the deaths of targets with the fleet. */
export class QuarantineManager implements Disposable {
	private readonly policy = new QuarantinePolicy();
	private readonly pendingReports = new Map<string, PendingDeathReport>();
	private readonly timers = new Set<NodeJS.Timeout>();
	private sightings: TimedSighting[] = [];

	constructor(private readonly options: QuarantineManagerOptions) {}

	/** Returns how a request with this fingerprint may run now. */
	status(fingerprint: Fingerprint): QuarantineStatus {
		return this.policy.status(fingerprint, this.options.clock.monotonic());
	}

	/** Returns the time in seconds until a quarantined request may run again. */
	remainingSeconds(fingerprint: Fingerprint): number {
		const now = this.options.clock.monotonic();
		return this.policy.remainingMilliseconds(fingerprint, now) / 1000;
	}

	/**
	 * Records that a request was in flight on a target whose death this host detected, and notifies the fleet.
	 * Resolves once the peers are notified, or after a timeout.
	 */
	async reportDeath(sighting: DeathSighting): Promise<void> {
		const {fingerprint, target, targetIncarnation} = sighting;
		this.applyDeath(
			{target, targetIncarnation, fingerprints: [fingerprint]},
			0,
		);
		const observedAt = this.options.clock.monotonic();
		this.sightings = [
			...this.recentSightings(observedAt),
			{...sighting, observedAt},
		].slice(-maximumSightings);
		const deathKey = `${target}\n${targetIncarnation}`;
		const pending = this.pendingReports.get(deathKey);
		if (pending) {
			pending.fingerprints.add(fingerprint);
			return pending.peersNotified;
		}

		const fingerprints = new Set([fingerprint]);
		const peersNotified = this.delay(collectionDelayMilliseconds).then(
			async () => {
				this.pendingReports.delete(deathKey);
				void this.appendDeath({
					target,
					targetIncarnation,
					fingerprints: [...fingerprints],
				});
				await Promise.race([
					this.options.notifyPeers(),
					this.delay(notificationTimeoutMilliseconds),
				]);
			},
		);
		this.pendingReports.set(deathKey, {fingerprints, peersNotified});
		return peersNotified;
	}

	/** Applies a death that the log or a peer reported. `ageMilliseconds` is the time since the death; a negative age counts as 0. */
	applyDeath(death: TargetDeath, ageMilliseconds: number): void {
		const at = this.options.clock.monotonic() - Math.max(0, ageMilliseconds);
		for (const fingerprint of this.policy.applyDeath(death, at)) {
			this.options.metrics.count('daisylever_quarantined_total');
			this.options.events.record(entryEvents.fingerprintQuarantined, {
				fingerprint,
				target: death.target,
			});
		}
	}

	/** Clears the suspicion on this host of a request that ran to its end. */
	clearSuspicion(fingerprint: Fingerprint): void {
		this.policy.clear(fingerprint, this.options.clock.monotonic());
	}

	/** Returns the recent sightings of this host, for its next heartbeat. */
	localSightings(): readonly DeathSighting[] {
		return this.recentSightings(this.options.clock.monotonic());
	}

	dispose(): void {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
	}

	private async appendDeath(death: TargetDeath): Promise<void> {
		// A failed append is ignored, because heartbeats carry the sightings as well.
		await this.options.control.submit({
			kind: 'target-died',
			target: death.target,
			targetIncarnation: death.targetIncarnation,
			host: this.options.host,
			fingerprints: [...death.fingerprints],
			time: this.options.clock.wall(),
		});
	}

	private async delay(milliseconds: number): Promise<void> {
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.timers.delete(timer);
				resolve();
			}, milliseconds);
			this.timers.add(timer);
		});
	}

	private recentSightings(now: number): TimedSighting[] {
		return this.sightings.filter(
			(sighting) => now - sighting.observedAt < sightingTimeToLiveMilliseconds,
		);
	}
}
