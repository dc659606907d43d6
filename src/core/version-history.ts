import {type Clock} from '../base/common/clock.js';
import {type PoolName, type SoftwareVersion} from '../contracts/ids.js';
import {streamLifetimeMilliseconds} from './stream-origins.js';

/** A software version of targets of a pool, with the time since a target last had it. */
export type SeenVersion = {
	readonly pool: PoolName;
	readonly version: SoftwareVersion;
	readonly ageMilliseconds: number;
};

/** Remembers which software versions the targets of each pool had lately, on this host and on those that told it. */
export class VersionHistory {
	private readonly startedAt: number;
	private isInformed = false;
	/** Monotonic time at which a target of the pool last had a version. */
	private readonly lastSeenAt = new Map<
		PoolName,
		Map<SoftwareVersion, number>
	>();

	constructor(private readonly clock: Clock) {
		this.startedAt = clock.monotonic();
	}

	/** Records the version of a target that is listed now. */
	observe(pool: PoolName, version: SoftwareVersion): void {
		this.record(pool, version, this.clock.monotonic());
	}

	/** Records that the host to which this one reports has told it all that it knows, or that there is none. */
	markInformed(): void {
		this.isInformed = true;
	}

	/** Records what another host has seen. */
	merge(versions: readonly SeenVersion[]): void {
		const now = this.clock.monotonic();
		for (const {pool, version, ageMilliseconds} of versions) {
			this.record(pool, version, now - ageMilliseconds);
		}
	}

	/**
	 * Returns the version at which any stream of the pool that can still be taken up began. Undefined if the pool had
	 * several, or if this process started lately and no other host has told it what was there before.
	 */
	soleVersion(pool: PoolName): SoftwareVersion | undefined {
		const isYoung =
			this.clock.monotonic() - this.startedAt < streamLifetimeMilliseconds;
		const versions = this.recentVersions(pool);
		return versions.length === 1 && (this.isInformed || !isYoung)
			? versions[0]!.version
			: undefined;
	}

	/** Versions of the pools that had several lately. */
	mixedVersions(): SeenVersion[] {
		return [...this.lastSeenAt.keys()].flatMap((pool) => {
			const versions = this.recentVersions(pool);
			return versions.length > 1 ? versions : [];
		});
	}

	private recentVersions(pool: PoolName): SeenVersion[] {
		const now = this.clock.monotonic();
		const seen = this.lastSeenAt.get(pool);
		for (const [version, at] of seen ?? []) {
			if (now - at > streamLifetimeMilliseconds) {
				seen!.delete(version);
			}
		}

		return [...(seen ?? [])].map(([version, at]) => ({
			pool,
			version,
			ageMilliseconds: now - at,
		}));
	}

	private record(pool: PoolName, version: SoftwareVersion, at: number): void {
		let seen = this.lastSeenAt.get(pool);
		if (!seen) {
			seen = new Map();
			this.lastSeenAt.set(pool, seen);
		}

		seen.set(version, Math.max(at, seen.get(version) ?? at));
	}
}
