import {type Result} from 'neverthrow';
import {z} from 'zod';
import {failureDomainSchema, hostIdSchema} from '../contracts/ids.js';
import {readTextFile} from './settings-loader.js';
import {listenAddressSchema, logSettingsSchema} from './settings.js';
import {YamlSource, type YamlValidationError} from './yaml-validation.js';

const millisecondsSchema = z.number().positive();

/** Settings of a host that forwards requests. What the fleet shares is in the operators' document. */
export const forwardingSettingsSchema = z.strictObject({
	host: hostIdSchema,
	failureDomain: failureDomainSchema,
	listen: z.strictObject({
		callers: listenAddressSchema,
		readiness: listenAddressSchema,
		peers: listenAddressSchema,
		metrics: listenAddressSchema,
	}),
	/** `host:port` of the shared store. */
	store: z.string().min(3),
	retries: z.strictObject({
		/** Repeated sends to a pool for each of its requests, over all hosts. */
		ratio: z.number().min(0).max(1),
		/** Repeated sends to a pool in a window beside those, over all hosts. */
		slack: z.number().nonnegative(),
		windowSeconds: z.number().positive(),
	}),
	lease: z.strictObject({
		/** Least time between orders of two holders to one target. */
		handoverMilliseconds: millisecondsSchema,
	}),
	/** Time from the first SIGTERM to the end of the process. */
	stopSeconds: z.number().positive(),
	log: logSettingsSchema.prefault({}),
});
export type ForwardingSettings = z.infer<typeof forwardingSettingsSchema>;

/** Reads and checks the settings of a host that forwards requests. */
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
