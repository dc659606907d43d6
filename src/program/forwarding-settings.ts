import {type Result} from 'neverthrow';
import {z} from 'zod';
import {maximumTimerMilliseconds} from '../base/common/timer-limits.js';
import {failureDomainSchema, hostIdSchema} from '../contracts/ids.js';
import {readTextFile} from './settings-loader.js';
import {listenAddressSchema, logSettingsSchema} from './settings.js';
import {YamlSource, type YamlValidationError} from './yaml-validation.js';

/** A time that a timer waits for. One that it cannot wait for is cut. */
const positiveMillisecondsSchema = z
	.number()
	.positive()
	.transform((milliseconds) =>
		Math.min(maximumTimerMilliseconds, milliseconds),
	);

/** Settings of a forwarding host. Settings that the whole fleet shares are in the operators' document. */
export const forwardingSettingsSchema = z.strictObject({
	host: hostIdSchema,
	failureDomain: failureDomainSchema,
	listen: z.strictObject({
		callers: listenAddressSchema,
		readiness: listenAddressSchema,
		peers: listenAddressSchema,
		metrics: listenAddressSchema,
	}),
	/** Address of the shared store, as `host:port`. */
	store: z.string().min(3),
	retries: z.strictObject({
		/** Retries allowed per request to a pool, over all hosts. */
		ratio: z.number().min(0).max(1),
		/** Retries allowed to a pool per window in addition to the ratio, over all hosts. */
		slack: z.number().nonnegative(),
		windowSeconds: z.number().positive(),
	}),
	lease: z.strictObject({
		/** Minimum time between the last order of one lease holder and the first order of the next to the same target. */
		handoverMilliseconds: positiveMillisecondsSchema,
	}),
	targets: z
		.strictObject({
			/** Time after the notice of a target's leaving within which new requests to it must end. */
			drainMilliseconds: positiveMillisecondsSchema.default(2000),
		})
		.prefault({}),
	machine: z
		.strictObject({
			/** Processor cores of this machine that the host may use. Relays and the owner are chosen among the strongest machines. */
			processorShare: z.number().positive().default(1),
			/** Memory that the process may use. A quarter of that of the operating system if it is absent, null or 0. */
			memoryMegabytes: z.number().nonnegative().nullish(),
		})
		.prefault({}),
	keys: z
		.strictObject({
			/** True if no host may accept a key longer than `revokeMilliseconds` after it was taken away. */
			isRevocationStrict: z.boolean().nullish(),
			/** Time for which a key may be accepted after the version that takes it away was stored. */
			revokeMilliseconds: positiveMillisecondsSchema.nullish(),
		})
		.prefault({}),
	scheduling: z
		.strictObject({
			/**
			 * Engine pools whose targets run at most this many requests at once are scheduled by the expected work of each
			 * request. On a target that runs more of them at once, their differences even out. 0 for none.
			 */
			workAwareSlots: z.number().int().nonnegative().default(0),
			/**
			 * True if the pools that are scheduled by work admit requests by the queue of all hosts instead of that of each
			 * host. All hosts then refuse the same share; under a lasting overload fewer requests start in time.
			 */
			admitsByFleetQueue: z.boolean().default(false),
		})
		.prefault({}),
	quotas: z
		.strictObject({
			/** Length of the window in which the hosts together keep to the quota of a customer. Quotas are not enforced if it is absent. */
			windowSeconds: z.number().positive().nullish(),
			/** Share of a quota that the hosts together may exceed it by in a window. */
			excessShare: z.number().min(0).max(1).nullish(),
			/** Units that the hosts together may exceed a quota by in addition. */
			slackUnits: z.number().nonnegative().nullish(),
		})
		.prefault({}),
	/** Limits for clients that the operators do not control. No client within the limits of the document reaches the defaults. */
	clients: z
		.strictObject({
			/** Open connections of callers. Follows from the memory and the file descriptors if it is absent. */
			connections: z.number().int().positive().nullish(),
			/** Open connections of other hosts. Follows from the memory and the file descriptors if it is absent. */
			peerConnections: z.number().int().positive().nullish(),
			/** Sum of all that is held for callers, other hosts and targets. Follows from the memory of the machine if it is absent. */
			heldMegabytes: z.number().positive().nullish(),
			/** Requests on one connection that were read and have no whole response. No more are read until one has ended. */
			requestsPerConnection: z.number().int().positive().default(4),
			/** Bodies in chunks of less than 64 bytes on average that may wait to be parsed at once. The one that has cost most is refused. */
			fragmentedBodies: z.number().int().positive().default(4),
			/** Time for the end of a body. No limit if it is absent. */
			bodySeconds: z.number().positive().nullish(),
			/** Lowest mean rate of a body after its first 20 s. No limit if it is absent. */
			bytesPerSecond: z.number().nonnegative().nullish(),
			/** Time in which less than 1 KiB of a body arrives, from which it may be ended while others need the memory. */
			stalledSeconds: z.number().positive().default(1),
			/** Time in which a client must read some of a response. */
			unreadSeconds: z.number().positive().default(30),
		})
		.prefault({}),
	hostLoad: z
		.strictObject({
			/** True if the host limits the requests that it handles while its processor does not suffice. A host that uses less than 80% of `machine.processorShare` has no limit, so the default is true. */
			isLimited: z.boolean().default(true),
			/** True if the host may say that it is not ready while the limit does not suffice. */
			mayWithdrawReadiness: z.boolean().default(true),
		})
		.prefault({}),
	/** Longest time from the first SIGTERM to the end of the process. */
	stopSeconds: z.number().positive(),
	log: logSettingsSchema.prefault({}),
});
/** Settings of a forwarding host, with defaults applied. */
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;

/** Reads and validates the settings file of a forwarding host. Fails with all errors of the file. */
export function loadForwardingSettings(
	file: string,
): Result<ForwardingSettings, YamlValidationError> {
	return readTextFile(file).andThen((text) => {
		const source = new YamlSource(file, text);
		return source
			.content()
			.andThen((content) =>
				source.validate(forwardingSettingsSchema, content, []),
			);
	});
}
