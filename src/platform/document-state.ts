import {type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {toFinite} from '../base/common/finite-number.js';
import {
	decodeJson,
	durationSchema,
	uniquelyNamed,
} from '../contracts/bounded-json.js';
import {quotaSchemas, toQuota} from '../contracts/quota-values.js';
import {keyDigestsSchema} from '../contracts/key-digest.js';
import {
	type ForwardingDocument,
	type RouteKind,
} from '../contracts/forwarding-document.js';
import {
	customerNameSchema,
	type ModelId,
	type PoolName,
	type RouteName,
} from '../contracts/ids.js';
import {
	DocumentState,
	type DocumentChange,
	type SharedStoreError,
	type StoreChanges,
	type StorePosition,
} from '../contracts/shared-store.js';
import {decodeKeyedRecord} from './keyed-record.js';
import {type StoreClient} from './store-client.js';
import {configurationKey, topics} from './wire.js';

const bytesPerMegabyte = 1_000_000;

/** Size of a configuration. The check of a larger one would block the event loop. */
const maximumConfigurationBytes = 16_777_216;

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	prefix: z.string(),
	kind: z.enum(['idempotent', 'non_idempotent', 'stream']),
	timeout_ms: durationSchema,
	goal_ms: durationSchema.optional(),
	priority: z.number().default(0),
	attempts: z.number().default(1),
	allow_resume: z.boolean().default(false),
	no_auth: z.boolean().default(false),
	gap_aim_ms: durationSchema.optional(),
	service: z.string().optional(),
	split: z
		.array(z.object({service: z.string(), weight: z.number()}))
		.optional(),
});

const engineSchema = z.object({
	weights_mb: z.number(),
	lora_slots: z.number().default(0),
	loads_per_s: z.number().default(1),
	slots: z.number().positive().optional(),
	kv_cap: z.number().positive().optional(),
	stride: z.number().positive().optional(),
	models: z
		.array(
			z.object({
				name: z.string(),
				weights_mb: z.number(),
				load_s: z.number().default(0),
				warm_s: z.number().optional(),
				disk_s: z.number().optional(),
				adapters: z.number().default(0),
				adapter_mb: z.number().default(0),
			}),
		)
		.default([]),
});

const tenantSchema = z.object({
	name: customerNameSchema,
	api_keys: keyDigestsSchema.default([]),
	priority: z.number().nullish(),
	per_s: quotaSchemas.number,
	burst: quotaSchemas.number,
	unit: quotaSchemas.unit,
	plain_tokens: quotaSchemas.number,
});

const configurationSchema = z.object({
	/** Reports between hosts carry it as an integer. */
	version: z.number().int().nonnegative(),
	routes: z.array(routeSchema),
	services: z.array(
		z.object({
			name: z.string(),
			max_conns: z.number().default(100),
			engine: engineSchema.optional(),
		}),
	),
	limits: z.object({
		header_bytes: z.number(),
		max_body_bytes: z.number(),
		header_ms: durationSchema,
		idle_ms: durationSchema,
	}),
	tenants: uniquelyNamed(tenantSchema).default([]),
});

const routeKinds: Readonly<Record<string, RouteKind>> = {
	idempotent: 'idempotent',
	non_idempotent: 'non-idempotent',
	stream: 'stream',
};

/** Reads the operator's configuration from the platform's store. */
export class PlatformDocumentState extends DocumentState {
	constructor(private readonly store: StoreClient) {
		super();
	}

	readNewest(): ResultAsync<StoreChanges<DocumentChange>, SharedStoreError> {
		return this.store.readNewest(topics.operator).map(({records, next}) => ({
			changes: records
				.filter(({key}) => key === configurationKey)
				.map(({value}) => decodeDocument(value)),
			next,
		}));
	}

	readSince(
		position: StorePosition,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<DocumentChange>, SharedStoreError> {
		return this.store
			.read(topics.operator, position, waitMilliseconds)
			.map(({records, next}) => ({
				changes: records.flatMap(({body}) => {
					const record = decodeKeyedRecord(body);
					return record?.key === configurationKey && record.value
						? [decodeDocument(record.value)]
						: [];
				}),
				next,
			}));
	}
}

/** Decodes the operator's configuration into a forwarding document, or states why it is unreadable. */
export function decodeDocument(value: Buffer): DocumentChange {
	return decodeJson(
		value,
		configurationSchema,
		maximumConfigurationBytes,
	).match<DocumentChange>(
		(content) => ({kind: 'document', document: toDocument(content)}),
		(reason) => ({kind: 'unreadable', reason}),
	);
}

function toDocument(
	configuration: z.infer<typeof configurationSchema>,
): ForwardingDocument {
	const {limits} = configuration;
	return {
		version: configuration.version,
		routes: configuration.routes.map((route) => ({
			name: route.name as RouteName,
			hostName: route.host,
			pathPrefix: route.prefix,
			kind: routeKinds[route.kind]!,
			timeoutMilliseconds: route.timeout_ms,
			latencyObjectiveMilliseconds: route.goal_ms ?? route.timeout_ms,
			priority: route.priority,
			maximumExecutions: Math.max(1, route.attempts),
			isResumable: route.allow_resume,
			pools:
				(route.split ?? []).length > 0
					? route.split!.map(({service, weight}) => ({
							pool: service as PoolName,
							weight,
						}))
					: [{pool: (route.service ?? '') as PoolName, weight: 1}],
			isKeyless: route.no_auth,
			pauseObjectiveMilliseconds: route.gap_aim_ms,
		})),
		pools: configuration.services.map((service) => ({
			name: service.name as PoolName,
			maximumConnections: service.max_conns,
			engine: service.engine && {
				memoryBytes: toFinite(service.engine.weights_mb * bytesPerMegabyte),
				adapterSlots: service.engine.lora_slots,
				loadsPerSecond: service.engine.loads_per_s,
				slots: service.engine.slots,
				memoryTokens: service.engine.kv_cap,
				tokensPerEvent: service.engine.stride,
				models: service.engine.models.map((model) => ({
					id: model.name as ModelId,
					bytes: toFinite(Math.ceil(model.weights_mb * bytesPerMegabyte)),
					loadMilliseconds: toFinite(model.load_s * 1000),
					memoryLoadMilliseconds: toMilliseconds(model.warm_s),
					diskLoadMilliseconds: toMilliseconds(model.disk_s),
					adapterCount: model.adapters,
					adapterBytes: toFinite(
						Math.ceil(model.adapter_mb * bytesPerMegabyte),
					),
				})),
			},
		})),
		limits: {
			headerBytes: limits.header_bytes,
			bodyBytes: limits.max_body_bytes,
			headerTimeoutMilliseconds: limits.header_ms,
			idleTimeoutMilliseconds: limits.idle_ms,
		},
		customers: configuration.tenants.map((tenant) => ({
			name: tenant.name,
			keyDigests: tenant.api_keys,
			priority: tenant.priority ?? undefined,
			quota: toQuota({
				...tenant,
				perSecond: tenant.per_s,
				plainUnits: tenant.plain_tokens,
			}),
		})),
	};
}

function toMilliseconds(seconds: number | undefined): number | undefined {
	return seconds === undefined ? undefined : toFinite(seconds * 1000);
}
