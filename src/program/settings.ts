import {z} from 'zod';
import {failureDomainSchema, hostIdSchema} from '../contracts/ids.js';

/** An address to listen on. Port 0 lets the kernel choose. */
export const listenAddressSchema = z
	.string()
	.regex(
		/^(?:[\w.-]+|\[[\d:a-f]+])?:\d{1,5}$/i,
		'must be an address and a port, such as 10.0.0.5:8080',
	)
	.transform((text) => {
		const separator = text.lastIndexOf(':');
		return {
			address: text.slice(0, separator).replaceAll(/[[\]]/g, '') || '0.0.0.0',
			port: Number(text.slice(separator + 1)),
		};
	})
	.refine(({port}) => port <= 65_535, 'must have a port of at most 65535');
export type ListenAddress = z.infer<typeof listenAddressSchema>;

const urlSchema = z.url({
	protocol: /^https?$/,
	error: 'must be an http or https URL',
});

function pemSchema(kind: string) {
	return z
		.string()
		.refine(
			(text) => text.includes('-----BEGIN ') && text.includes(kind),
			`must hold a ${kind} in PEM form`,
		);
}

/** Certificate chain and private key in PEM form, literally or as `{file: PATH}` or `{environment: NAME}`. */
const tlsIdentitySchema = z.strictObject({
	certificate: pemSchema('CERTIFICATE'),
	key: pemSchema('PRIVATE KEY'),
});

/** Logging of this process. */
export const logSettingsSchema = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	format: z.enum(['json', 'text']).default('json'),
});
export type LogSettings = z.infer<typeof logSettingsSchema>;

/** Settings of one host. Everything that the fleet shares is in the operators' document instead. */
export const settingsSchema = z.strictObject({
	host: hostIdSchema,
	failureDomain: failureDomainSchema,
	listen: z.strictObject({
		callers: listenAddressSchema,
		operators: listenAddressSchema,
		peers: listenAddressSchema,
	}),
	/** URL under which other hosts reach `listen.peers`. Derived from the address when left out. */
	advertisedPeerUrl: urlSchema.optional(),
	/** URLs of some other hosts, for a start during an outage of the log service. */
	seedPeers: z.array(urlSchema).default([]),
	platform: z.strictObject({
		logService: urlSchema,
		hostList: urlSchema,
		weightStore: urlSchema,
		/** How long the log keeps a record. Claims are appended anew at half of it. */
		logRetentionHours: z.number().positive().default(24),
	}),
	/** Shared by all hosts. At least 16 characters, so that it cannot be guessed. */
	peerSecret: z.string().min(16, 'must have at least 16 characters'),
	operators: z
		.array(
			z.strictObject({
				name: z.string().min(1),
				/** SHA-256 of the bearer token. */
				tokenDigest: z
					.string()
					.regex(
						/^[\da-f]{64}$/,
						'must be a SHA-256 digest in lower-case hexadecimal',
					),
			}),
		)
		.min(1),
	/** Certificates of the listeners. A listener without them speaks plain HTTP. */
	tls: z
		.strictObject({
			callers: tlsIdentitySchema.optional(),
			operators: tlsIdentitySchema.optional(),
			/** Hosts prove themselves to each other with certificates of this authority, in addition to the secret. */
			peers: tlsIdentitySchema
				.extend({authority: pemSchema('CERTIFICATE')})
				.optional(),
		})
		.prefault({}),
	limits: z
		.strictObject({
			bodyBytes: z.number().int().positive().default(1_048_576),
			headerBytes: z.number().int().min(1024).default(16_384),
			connections: z.number().int().positive().default(4096),
			/** Largest document that operators can submit. */
			documentBytes: z.number().int().positive().default(8_388_608),
		})
		.prefault({}),
	log: logSettingsSchema.prefault({}),
	timeouts: z
		.strictObject({
			/** Call to the log service, host list or weight store. */
			platformMilliseconds: z.number().int().positive().default(3000),
			/** Call to a peer. */
			peerMilliseconds: z.number().int().positive().default(1000),
			/** Establishing a connection to a target. */
			connectMilliseconds: z.number().int().positive().default(1000),
			/** Arrival of the headers and of the body of a request. */
			requestReceiveMilliseconds: z.number().int().positive().default(10_000),
			/** Idle connection of a caller. */
			keepAliveMilliseconds: z.number().int().positive().default(60_000),
			/** Time that running requests get after the first SIGTERM. */
			drainMilliseconds: z.number().int().positive().default(300_000),
		})
		.prefault({}),
});
export type Settings = z.infer<typeof settingsSchema>;
