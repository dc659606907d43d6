import {z} from 'zod';
import {type PoolName, type SoftwareVersion} from './ids.js';

const seenVersionSchema = z.object({
	pool: z.string().transform((name) => name as PoolName),
	version: z.string().transform((name) => name as SoftwareVersion),
	ageMilliseconds: z.number(),
});

/** Parses a version report that another host has stored. */
export const versionReportSchema = z.object({
	versions: z.array(seenVersionSchema).readonly(),
	/** Time for which no version is missing. */
	reachMilliseconds: z.number(),
});

/** A software version of targets of a pool, with the time since a target last had it. */
export type SeenVersion = Readonly<z.infer<typeof seenVersionSchema>>;

/** The software versions that the targets of all pools had within a time. Hosts have no common clock, so times are ages. */
export type VersionReport = Readonly<z.infer<typeof versionReportSchema>>;
