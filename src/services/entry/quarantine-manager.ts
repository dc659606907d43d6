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

/** Collaborators of the quarantine keeper. */
export type QuarantineManagerOptions = {
	readonly host: HostId;
	readonly control: ControlLog;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** Sends the sightings of this host to its peers without waiting for the next heartbeat. */
	readonly notifyPeers: () => Promise<void>;
};

/** A fingerprint that was in flight at a death, as peers exchange it. */
export type DeathSighting = {
	readonly fingerprint: Fingerprint;
	readonly target: TargetId;
	readonly targetIncarnation: TargetIncarnation;
};

type TimedSighting = DeathSighting & {readonly at: number};

// Heartbeats repeat a sighting this long, so that peers learn of it during a log outage too.
const sightingMilliseconds = 60_000;
const maximumSightings = 200;

// Requests that were in flight together notice the death one after the other.
const collectMilliseconds = 20;

// A retry waits until the peers know of the death, since a repetition through another host would end one more target. A peer that does not answer must not hold the retry up for long.
const tellPeersMilliseconds = 500;

type CollectedDeath = {
	readonly fingerprints: Set<Fingerprint>;
	readonly told: Promise<void>;
};

/** Owns what this host knows of requests that end targets, and shares it with the fleet. */
export class QuarantineManager implements Disposable {
	private readonly policy = new QuarantinePolicy();
	private readonly collecting = new Map<string, CollectedDeath>();
	private readonly timers = new Set<NodeJS.Timeout>();
	private sightings: TimedSighting[] = [];

	constructor(private readonly options: QuarantineManagerOptions) {}

	/** Tells how a request may run now. */
	status(fingerprint: Fingerprint): QuarantineStatus {
		return this.policy.status(fingerprint, this.options.clock.monotonic());
	}

	/** Seconds until a quarantined request may run again. */
	remainingSeconds(fingerprint: Fingerprint): number {
		const now = this.options.clock.monotonic();
		return this.policy.remainingMilliseconds(fingerprint, now) / 1000;
	}

	/**
	 * Notes that a request was in flight at a death that this host noticed, and tells the fleet.
	 * Resolves when the peers know, or after a bounded time.
	 */
	async reportDeath(sighting: DeathSighting): Promise<void> {
		const {fingerprint, target, targetIncarnation} = sighting;
		this.applyDeath(
			{target, targetIncarnation, fingerprints: [fingerprint]},
			0,
		);
		const at = this.options.clock.monotonic();
		this.sightings = [...this.recentSightings(at), {...sighting, at}].slice(
			-maximumSightings,
		);
		const name = `${target}\n${targetIncarnation}`;
		const collected = this.collecting.get(name);
		if (collected) {
			collected.fingerprints.add(fingerprint);
			return collected.told;
		}

		const fingerprints = new Set([fingerprint]);
		const told = this.after(collectMilliseconds).then(async () => {
			this.collecting.delete(name);
			void this.record({
				target,
				targetIncarnation,
				fingerprints: [...fingerprints],
			});
			await Promise.race([
				this.options.notifyPeers(),
				this.after(tellPeersMilliseconds),
			]);
		});
		this.collecting.set(name, {fingerprints, told});
		return told;
	}

	/** Takes in a death from the log or a peer, with its age in milliseconds. */
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

	/** Notes that a request ran to its end, so that it is no suspect any more on this host. */
	clearSuspicion(fingerprint: Fingerprint): void {
		this.policy.clear(fingerprint, this.options.clock.monotonic());
	}

	/** The sightings of this host for its next heartbeat. */
	localSightings(): readonly DeathSighting[] {
		return this.recentSightings(this.options.clock.monotonic());
	}

	dispose(): void {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}
	}

	private async record(death: TargetDeath): Promise<void> {
		// A failed append is no loss: heartbeats carry the sightings as well.
		await this.options.control.submit({
			kind: 'target-died',
			target: death.target,
			targetIncarnation: death.targetIncarnation,
			host: this.options.host,
			fingerprints: [...death.fingerprints],
			time: this.options.clock.wall(),
		});
	}

	private async after(milliseconds: number): Promise<void> {
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
			(sighting) => now - sighting.at < sightingMilliseconds,
		);
	}
}
