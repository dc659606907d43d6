import {z} from 'zod';
import {targetReportSchema} from '../contracts/engine.js';
import {standInFaultsSchema} from './stand-in-server.js';

/** A fault of one event stream. */
export const streamFaultSchema = z.object({
	/**
	 * `truncated` ends the answer without an end marker, `broken` resets the connection,
	 * `stalled` sends nothing more, `crossed` inserts an event of another request,
	 * `duplicate` and `missing` repeat and skip a token, `wrong-count` falsifies the end marker,
	 * `garbled` inserts a line that is not an event.
	 */
	kind: z.enum([
		'truncated',
		'broken',
		'stalled',
		'crossed',
		'duplicate',
		'missing',
		'wrong-count',
		'garbled',
	]),
	/** Events of the stream that pass before the fault. */
	afterEvents: z.number().int().nonnegative().default(2),
	/** Number of streams that still meet the fault. */
	remaining: z.number().int().nonnegative().default(1),
});
export type StreamFault = z.infer<typeof streamFaultSchema>;

/** A fault of orders. */
export const orderFaultSchema = z.object({
	/**
	 * `lost` drops the order, `delayed` applies it after a time, both without an answer. `repeated`
	 * answers, and a second copy arrives after a time.
	 */
	kind: z.enum(['lost', 'delayed', 'repeated']),
	/** Number of orders that still meet the fault. */
	remaining: z.number().int().nonnegative().default(1),
	delayMilliseconds: z.number().nonnegative().default(0),
});
export type OrderFault = z.infer<typeof orderFaultSchema>;

/** Faults of an engine. */
export const engineFaultsSchema = standInFaultsSchema.extend({
	leaving: z.boolean().default(false),
	/** Refuses new generations as busy. */
	busy: z.boolean().default(false),
	streams: z.array(streamFaultSchema).default([]),
	orders: z.array(orderFaultSchema).default([]),
	/** Answers the report as it was when the fault was switched on. */
	reportFrozen: z.boolean().default(false),
	/** Fields that replace those of the true report. */
	reportOverrides: targetReportSchema.partial().default({}),
	/** Loses each cache event whose sequence is a multiple of this number. Zero loses none. */
	cacheEventGap: z.number().int().nonnegative().default(0),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
