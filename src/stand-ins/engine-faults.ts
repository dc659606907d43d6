import {z} from 'zod';
import {targetReportSchema} from '../contracts/engine.js';
import {standInFaultsSchema} from './stand-in-server.js';

/** A fault injected into event streams. */
export const streamFaultSchema = z.object({
	/**
	 * `truncated` ends the response without an end marker, `broken` resets the connection,
	 * `stalled` keeps the connection open but sends no further events, `crossed` inserts an event of
	 * another request, `duplicate` and `missing` repeat and omit a token, `wrong-count` reports a
	 * wrong number of tokens in the end marker, `garbled` inserts a line that is not valid JSON.
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
	/** Number of events sent unchanged before the fault. */
	afterEvents: z.number().int().nonnegative().default(2),
	/** Number of further streams that get the fault. */
	remaining: z.number().int().nonnegative().default(1),
});
export type StreamFault = z.infer<typeof streamFaultSchema>;

/** A fault in the handling of orders. */
export const orderFaultSchema = z.object({
	/**
	 * `lost` drops the order and `delayed` applies it after `delayMilliseconds`; both close the
	 * connection without an acknowledgement. `repeated` acknowledges the order and applies it a
	 * second time after `delayMilliseconds`.
	 */
	kind: z.enum(['lost', 'delayed', 'repeated']),
	/** Number of further orders that get the fault. */
	remaining: z.number().int().nonnegative().default(1),
	delayMilliseconds: z.number().nonnegative().default(0),
});
export type OrderFault = z.infer<typeof orderFaultSchema>;

/** Faults that an engine stand-in can inject. */
export const engineFaultsSchema = standInFaultsSchema.extend({
	/** Refuses new generations and reports that the engine is leaving. */
	leaving: z.boolean().default(false),
	/** Refuses new generations as busy. */
	busy: z.boolean().default(false),
	streams: z.array(streamFaultSchema).default([]),
	orders: z.array(orderFaultSchema).default([]),
	/** Serves the report as it was when the fault was enabled. */
	reportFrozen: z.boolean().default(false),
	/** Fields that replace those of the actual report. */
	reportOverrides: targetReportSchema.partial().default({}),
	/** Omits one cache event out of this many, the last one of each group. Zero omits none. */
	cacheEventGap: z.number().int().nonnegative().default(0),
});
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
