import {
	type PoolName,
	type RequestId,
	type SoftwareVersion,
} from '../../../contracts/ids.js';
import {
	type OriginSource,
	type StreamOriginChanges,
	type StreamOrigins,
} from '../../../core/streams/stream-origins.js';
import {type StreamOrigin} from '../../../contracts/stream-origin.js';
import {
	type SeenVersion,
	type VersionReport,
} from '../../../contracts/version-report.js';
import {type VersionHistory} from '../../../core/streams/version-history.js';

/** Collaborators of the sharing of stream origins. */
export type StreamOriginSharingOptions = {
	readonly origins: StreamOrigins;
	readonly versions: VersionHistory;
	/** Streams that were read from the store. They are kept apart, so that many of them do not displace those of this host. */
	readonly stored: StreamOrigins;
	/** Reads the store, which calls `recordStored`. */
	readonly readStore: () => Promise<void>;
	/** True while this host writes the streams of others to the store itself, and the host to which it reports would do the same. */
	readonly isRecording: () => boolean;
	/** Asks other hosts at which software version a stream began. */
	readonly askOthers: (
		stream: RequestId,
	) => Promise<SoftwareVersion | undefined>;
};

/**
 * Decides which streams hosts tell each other, and finds the software version at which a stream began. Hosts report
 * their streams to the owner or a relay, which returns its own and writes all of them to the store: each stream is known
 * to two hosts at least and outlives them. Nothing is sent while all targets have had one version.
 */
export class StreamOriginSharing {
	constructor(private readonly options: StreamOriginSharingOptions) {}

	/** Records the version of the target that brought the first event of a stream of this host. */
	recordStart(stream: RequestId, version: SoftwareVersion): void {
		this.options.origins.record(stream, version, 'own');
	}

	/** Records streams that another host sent. */
	merge(origins: readonly StreamOrigin[], source: OriginSource): void {
		for (const {stream, version} of origins) {
			this.options.origins.record(stream, version, source);
		}
	}

	/** Streams of this host and of those that report to it, for the host to which this one reports. */
	changesForReceiver(revision: number): StreamOriginChanges {
		return this.options.isRecording()
			? {origins: [], revision}
			: this.changes(revision, ['own', 'reporter']);
	}

	/** Streams of this host and of those that report to it, for the store. */
	changesForStore(revision: number): StreamOriginChanges {
		return this.changes(revision, ['own', 'reporter']);
	}

	/** Records streams that were read from the store. */
	recordStored(origins: readonly StreamOrigin[]): void {
		for (const {stream, version} of origins) {
			this.options.stored.record(stream, version, 'upstream');
		}
	}

	/** Streams of this host, for a host that reports to it. */
	changesForReporter(revision: number): StreamOriginChanges {
		return this.changes(revision, ['own']);
	}

	/** Software versions of the pools that had several lately, for other hosts. */
	mixedVersions(): readonly SeenVersion[] {
		return this.options.versions.mixedVersions();
	}

	/** Records software versions that another host has seen. */
	mergeVersions(versions: readonly SeenVersion[]): void {
		this.options.versions.merge(versions);
	}

	/** True while this host does not know all software versions at which streams may have begun. */
	get lacksVersions(): boolean {
		return !this.options.versions.isComplete;
	}

	/** All software versions that this host knows, for a host that lacks some. */
	versionReport(): VersionReport {
		return this.options.versions.report();
	}

	/** Records all software versions that targets had within a time. */
	learnVersions(report: VersionReport): void {
		this.options.versions.learn(report);
	}

	/** Returns the version at which a stream of a pool began, as far as this host knows it. */
	known(
		pool: PoolName,
		stream: RequestId | undefined,
	): SoftwareVersion | undefined {
		const {versions} = this.options;
		return (
			(stream === undefined ? undefined : this.get(stream)) ??
			versions.soleVersion(pool)
		);
	}

	/** Returns the version at which a stream began, as far as this host knows it from other hosts or itself. */
	get(stream: RequestId): SoftwareVersion | undefined {
		const {origins, stored} = this.options;
		return origins.get(stream) ?? stored.get(stream);
	}

	/** Asks other hosts for the version at which a stream began, and reads the store if none of them knows it. */
	async find(stream: RequestId): Promise<SoftwareVersion | undefined> {
		const {askOthers, readStore} = this.options;
		let version = await askOthers(stream);
		if (version === undefined) {
			await readStore();
			version = this.get(stream);
		}

		if (version !== undefined) {
			this.options.origins.record(stream, version, 'own');
		}

		return version;
	}

	private changes(
		revision: number,
		sources: readonly OriginSource[],
	): StreamOriginChanges {
		const {origins, versions} = this.options;
		return versions.mixedVersions().length > 0
			? origins.changesSince(revision, sources)
			: {origins: [], revision};
	}
}
