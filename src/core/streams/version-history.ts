import {type Clock} from '../../base/common/clock.js';
import {type PoolName, type SoftwareVersion} from '../../contracts/ids.js';
import {
	type SeenVersion,
	type VersionReport,
} from '../../contracts/version-report.js';
import {streamLifetimeMilliseconds} from './stream-origins.js';

/** Options of the version history. */
export type VersionHistoryOptions = {
	readonly clock: Clock;
	/** False while this host does not see changes of the target list in time. */
	readonly isListCurrent: () => boolean;
};

/**
 * Remembers which software versions the targets of each pool had lately. A process knows them only since its start,
 * unless another one that has run for longer has told it what was there before.
 */
export class VersionHistory {
	/** Monotonic time since which no version is missing. */
	private knownSince: number;
	private readonly clock: Clock;
	/** Monotonic time at which a target of the pool last had a version. */
	private readonly lastSeenAt = new Map<
		PoolName,
		Map<SoftwareVersion, number>
	>();

	constructor(private readonly options: VersionHistoryOptions) {
		this.clock = options.clock;
		this.knownSince = this.clock.monotonic();
	}

	/** True when no version is missing at which a stream may have begun that can still be taken up. */
	get isComplete(): boolean {
		return this.reachMilliseconds >= streamLifetimeMilliseconds;
	}

	/** Records the version of a target that is listed now. */
	observe(pool: PoolName, version: SoftwareVersion): void {
		this.record(pool, version, this.clock.monotonic());
	}

	/** Records versions that another host has seen, of which others may be missing. */
	merge(versions: readonly SeenVersion[]): void {
		const now = this.clock.monotonic();
		for (const {pool, version, ageMilliseconds} of versions) {
			this.record(pool, version, now - ageMilliseconds);
		}
	}

	/** Records all versions of a time that ends now. */
	learn({versions, reachMilliseconds}: VersionReport): void {
		this.merge(versions);
		this.knownSince = Math.min(
			this.knownSince,
			this.clock.monotonic() - reachMilliseconds,
		);
	}

	/** Records that versions may have come and gone since the last change of the target list. */
	recordGap(): void {
		this.knownSince = this.clock.monotonic();
	}

	/** Returns all versions that this process knows, for others. */
	report(): VersionReport {
		return {
			versions: [...this.lastSeenAt.keys()].flatMap((pool) =>
				this.recentVersions(pool),
			),
			reachMilliseconds: this.options.isListCurrent()
				? Math.min(this.reachMilliseconds, streamLifetimeMilliseconds)
				: 0,
		};
	}

	/**
	 * Returns the version at which any stream of the pool that can still be taken up began. Undefined if the pool had
	 * several, if versions may be missing, or while targets of another one may be listed that this host does not see.
	 */
	soleVersion(pool: PoolName): SoftwareVersion | undefined {
		const versions = this.recentVersions(pool);
		return versions.length === 1 &&
			this.isComplete &&
			this.options.isListCurrent()
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

	private get reachMilliseconds(): number {
		return this.clock.monotonic() - this.knownSince;
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
