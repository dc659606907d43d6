import {type PoolName, type SoftwareVersion} from './ids.js';

/** A software version of targets of a pool, with the time since a target last had it. */
export type SeenVersion = {
	readonly pool: PoolName;
	readonly version: SoftwareVersion;
	readonly ageMilliseconds: number;
};

/** The software versions that the targets of all pools had within a time. Hosts have no common clock, so times are ages. */
export type VersionReport = {
	readonly versions: readonly SeenVersion[];
	/** Time for which no version is missing. */
	readonly reachMilliseconds: number;
};
