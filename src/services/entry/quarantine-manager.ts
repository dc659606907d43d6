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
import {type RequestFingerprints} from '../../contracts/request-fingerprints.js';
import {
	QuarantinePolicy,
	type QuarantineStatus,
	type TargetDeath,
} from '../../core/crashes/quarantine-policy.js';

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

/** A generation that was in flight on a target when the target died. */
export type LostGeneration = Omit<DeathSighting, 'fingerprint'> & {
	readonly fingerprints: RequestFingerprints;
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

	/** Returns how a request with these fingerprints may run now. */
	status(fingerprints: RequestFingerprints): QuarantineStatus {
		const statuses = new Set(
			allOf(fingerprints).map((fingerprint) => this.statusOf(fingerprint)),
		);
		return (
			(['quarantined', 'suspect'] as const).find((each) =>
				statuses.has(each),
			) ?? 'clear'
		);
	}

	/** Returns the time in seconds until a quarantined request may run again. */
	remainingSeconds(fingerprints: RequestFingerprints): number {
		const now = this.options.clock.monotonic();
		return Math.max(
			0,
			...allOf(fingerprints)
				.filter((each) => this.statusOf(each) === 'quarantined')
				.map((each) => this.policy.remainingMilliseconds(each, now) / 1000),
		);
	}

	/**
	 * Records that a request was in flight on a target whose death this host detected, and notifies the fleet.
	 * Resolves once the peers are notified, or after a timeout.
	 */
	async reportDeath(lost: LostGeneration): Promise<void> {
		const {target, targetIncarnation} = lost;
		const blamed = this.blamedFingerprints(lost.fingerprints);
		this.applyDeath({target, targetIncarnation, fingerprints: blamed}, 0);
		const observedAt = this.options.clock.monotonic();
		this.sightings = [
			...this.recentSightings(observedAt),
			...blamed.map((fingerprint) => ({
				fingerprint,
				target,
				targetIncarnation,
				observedAt,
			})),
		].slice(-maximumSightings);
		const deathKey = `${target}\n${targetIncarnation}`;
		const pending = this.pendingReports.get(deathKey);
		if (pending) {
			for (const fingerprint of blamed) {
				pending.fingerprints.add(fingerprint);
			}

			return pending.peersNotified;
		}

		const fingerprints = new Set(blamed);
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

	/** Records that a request ran to its end, which clears it and vouches for its parts. */
	recordAnswer({request, parts}: RequestFingerprints): void {
		const now = this.options.clock.monotonic();
		this.policy.clear(request, now);
		this.policy.recordAnswer(parts, now);
	}

	/** Returns the fingerprints under suspicion for which this host vouches, for its next heartbeat. */
	soundFingerprints(): Fingerprint[] {
		return this.policy
			.soundSuspicions(this.options.clock.monotonic())
			.slice(-maximumSightings);
	}

	/** Applies the fingerprints for which a peer vouches. */
	applySoundness(fingerprints: readonly Fingerprint[]): void {
		this.policy.applySoundness(fingerprints, this.options.clock.monotonic());
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

	private statusOf(fingerprint: Fingerprint): QuarantineStatus {
		return this.policy.status(fingerprint, this.options.clock.monotonic());
	}

	/** The request itself and the parts of it that were not answered completely in another request. */
	private blamedFingerprints({
		request,
		parts,
	}: RequestFingerprints): Fingerprint[] {
		const now = this.options.clock.monotonic();
		return [
			request,
			...parts.filter((part) => !this.policy.isSound(part, now)),
		];
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

function allOf({request, parts}: RequestFingerprints): Fingerprint[] {
	return [request, ...parts];
}
