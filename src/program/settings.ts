import {z} from 'zod';
import {failureDomainSchema, hostIdSchema} from '../contracts/ids.js';

/** Address and port to listen on, as `address:port`. Without an address, all IPv4 addresses; port 0 takes any free port. */
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
/** Parsed address and port to listen on. */
export type ListenAddress = z.infer<typeof listenAddressSchema>;

const urlSchema = z.url({
	protocol: /^https?$/,
	error: 'must be an http or https URL',
});

/** Schema of text that contains a PEM block of the given kind. */
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

/** Log level and format of this process. */
export const logSettingsSchema = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	format: z.enum(['json', 'text']).default('json'),
});
/** Log level and format of this process. */
export type LogSettings = z.infer<typeof logSettingsSchema>;

/** Settings of one host. Settings that the whole fleet shares are in the operators' document. */
export const settingsSchema = z.strictObject({
	host: hostIdSchema,
	failureDomain: failureDomainSchema,
	listen: z.strictObject({
		callers: listenAddressSchema,
		operators: listenAddressSchema,
		peers: listenAddressSchema,
	}),
	/** URL at which other hosts reach `listen.peers`. Derived from that address when absent. */
	advertisedPeerUrl: urlSchema.optional(),
	/** URLs of some other hosts, needed to start during an outage of the log service. */
	seedPeers: z.array(urlSchema).default([]),
	platform: z.strictObject({
		logService: urlSchema,
		hostList: urlSchema,
		weightStore: urlSchema,
		/** Time for which the log keeps a record. Claims are appended again after half of it. */
		logRetentionHours: z.number().positive().default(24),
	}),
	/** Secret that all hosts share to authenticate to each other. At least 16 characters, so that it cannot be guessed. */
	peerSecret: z.string().min(16, 'must have at least 16 characters'),
	operators: z
		.array(
			z.strictObject({
				name: z.string().min(1),
				/** SHA-256 digest of the bearer token, in lower-case hexadecimal. */
				tokenDigest: z
					.string()
					.regex(
						/^[\da-f]{64}$/,
						'must be a SHA-256 digest in lower-case hexadecimal',
					),
			}),
		)
		.min(1),
	/** Certificates of the listeners. A listener without a certificate serves plain HTTP. */
	tls: z
		.strictObject({
			callers: tlsIdentitySchema.optional(),
			operators: tlsIdentitySchema.optional(),
			/** Hosts authenticate to each other with certificates of this authority, in addition to the shared secret. */
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
			/** Maximum size of a document that operators submit. */
			documentBytes: z.number().int().positive().default(8_388_608),
		})
		.prefault({}),
	log: logSettingsSchema.prefault({}),
	timeouts: z
		.strictObject({
			/** Timeout of a call to the log service, host list or weight store. */
			platformMilliseconds: z.number().int().positive().default(3000),
			/** Timeout of a call to another host. */
			peerMilliseconds: z.number().int().positive().default(1000),
			/** Timeout of establishing a connection to a target. */
			connectMilliseconds: z.number().int().positive().default(1000),
			/** Timeout of receiving the headers and the body of a request. */
			requestReceiveMilliseconds: z.number().int().positive().default(10_000),
			/** Time after which an idle connection of a caller is closed. */
			keepAliveMilliseconds: z.number().int().positive().default(60_000),
			/** Time for running requests to complete after the first SIGTERM. */
			drainMilliseconds: z.number().int().positive().default(300_000),
		})
		.prefault({}),
});
/** Settings of one host, with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
