import {err, ok, type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {NullEventLogger} from '../../base/common/event-logger.js';
import {type PoolReachability} from '../../contracts/pool-reachability.js';
import {
	type Customer,
	type ForwardingDocument,
	type RouteRule,
} from '../../contracts/forwarding-document.js';
import {
	type AdapterId,
	type Fingerprint,
	type ModelId,
	type PoolName,
	type PromptPartId,
	type RequestId,
	type TargetId,
} from '../../contracts/ids.js';
import {prefixKeysOf} from '../../contracts/prefix-keys.js';
import {type RequestCodec} from '../../contracts/request-codec.js';
import {callerOf} from '../../core/fairness/customer-callers.js';
import {type CustomerKeys} from '../../core/fairness/customer-keys.js';
import {type QuotaPreview} from '../../core/quotas/quota-exchange.js';
import {requestUnits} from '../../core/quotas/quota-policy.js';
import {type RouteTable} from '../../core/routing/route-table.js';
import {type DispatchPreview} from '../dispatch/dispatch-preview.js';
import {type ForwardDispatch} from './attempts/forward-dispatch.js';
import {
	ForwardedRequest,
	quarantineRetryMilliseconds,
} from './attempts/forwarded-request.js';
import {
	decideForPool,
	servesModel,
	unknownModelReason,
} from './attempts/pool-decision.js';
import {UnsentResponse} from './attempts/unsent-response.js';
import {type QuotaEnforcement} from './limits/quota-enforcement.js';
import {type FleetSharing} from './reports/fleet-sharing.js';
import {type CrashObserver} from './targets/crash-observer.js';
import {type TargetRegistry} from './targets/target-registry.js';

/** The request that is asked about. */
export type RouteQuestion = {
	readonly hostName: string;
	readonly path: string;
	readonly model?: string | undefined;
	readonly adapter?: string | undefined;
	readonly promptTokens: number;
	readonly maximumTokens: number;
	readonly lengthHint?: number | undefined;
	/** Ids of the parts of the prompt, in their order. */
	readonly promptParts: readonly string[];
	readonly customer?: string | undefined;
};

/** What the host does with the request in one of the pools of its route. */
export type PoolExplanation = {
	readonly pool: PoolName;
	/** Share of the route's requests that the pool receives. */
	readonly share: number;
	readonly outcome: 'dispatch' | 'queue' | 'refuse' | 'other-host';
	readonly reason: string;
	readonly retryAfterMilliseconds?: number;
	/** What the dispatcher of the pool knows, absent if the request does not reach it. */
	readonly dispatch?: DispatchPreview;
	/** Targets of the pool that are no candidates, and why. */
	readonly excludedTargets: ReadonlyArray<{
		readonly target: TargetId;
		readonly exclusion: string;
	}>;
	/** Work of the customer, or of all callers without one, in the pool on all hosts. Absent if the host does not share by customer. */
	readonly callerWork?: {
		readonly recentMilliseconds: number;
		readonly share: number;
	};
};

/** Where a request would go now, and why. */
export type RouteExplanation = {
	readonly host: string;
	readonly documentVersion: number;
	readonly route: Pick<
		RouteRule,
		| 'name'
		| 'hostName'
		| 'pathPrefix'
		| 'kind'
		| 'priority'
		| 'timeoutMilliseconds'
		| 'latencyObjectiveMilliseconds'
	>;
	/** Customer as which the request counts, absent if its route needs no key. */
	readonly customer?: string;
	/** Refusal before a pool is picked. */
	readonly refusal?: {
		readonly status: 401 | 503;
		readonly reason: string;
		readonly retryAfterMilliseconds?: number;
	};
	/** Quota of the customer and the units that the request takes, absent without one. The host admits `admittedShare` of the demand. */
	readonly quota?: QuotaPreview & {readonly units: number};
	readonly pools: readonly PoolExplanation[];
};

/** Why there is no explanation. */
export type ExplanationFailure = {
	readonly code:
		'unknown-route' | 'unknown-model' | 'unknown-customer' | 'no-document';
	readonly detail: string;
};

/** State of the host on which the explanation depends. */
export type ExplainedHost = {
	readonly host: string;
	readonly clock: Clock;
	readonly codec: RequestCodec;
	readonly registry: TargetRegistry;
	readonly reachability: PoolReachability;
	readonly crashes: CrashObserver;
	readonly quotas?: QuotaEnforcement | undefined;
	readonly sharing?: FleetSharing | undefined;
	readonly document: ForwardingDocument | undefined;
	readonly routes: RouteTable | undefined;
	readonly keys: CustomerKeys;
	readonly pools: ReadonlyMap<
		PoolName,
		{
			readonly dispatch: ForwardDispatch;
			readonly models: ReadonlySet<ModelId> | undefined;
		}
	>;
	/** Why the host refuses all requests of the customer, undefined if it does not. */
	readonly findHostRefusal: (
		customer: Customer | undefined,
	) => RouteExplanation['refusal'];
	readonly mayBegin: (request: ForwardedRequest) => boolean;
};

/** Reason of the refusals of a stopping host. */
export const stoppingReason = 'the host is stopping';
/** Reason of the refusals of requests without a key of a customer. */
export const unknownKeyReason = 'the key is unknown';
/** Retry delay sent by a host without a document or one that is stopping. A starting host receives a document within this time, or not before its callers time out. */
export const startRetryMilliseconds = 500;

/** Explains where a request would go now, by the code that decides on requests. Changes nothing: the pool and the targets are not drawn, and no counter, estimate, permit or log changes. */
export function explainRoute(
	question: RouteQuestion,
	host: ExplainedHost,
): Result<RouteExplanation, ExplanationFailure> {
	const {document, routes, keys, pools} = host;
	if (!document || !routes) {
		return err({code: 'no-document', detail: 'the host has no document yet'});
	}

	const {hostName, path, model} = question;
	const matched = routes.match(hostName, path);
	if (!matched) {
		return err({
			code: 'unknown-route',
			detail: `no route of document ${document.version} matches host name ${hostName} and path ${path}`,
		});
	}

	const isServed = matched.pools.some((each) => {
		const pool = pools.get(each.pool);
		return pool && servesModel(pool, model as ModelId | undefined);
	});
	if (model !== undefined && !isServed) {
		return err({
			code: 'unknown-model',
			detail: `no pool of route ${matched.name} has a model ${model}`,
		});
	}

	const named =
		question.customer === undefined ? undefined : keys.get(question.customer);
	if (question.customer !== undefined && !named) {
		return err({
			code: 'unknown-customer',
			detail: `document ${document.version} has no customer ${question.customer}`,
		});
	}

	const isKeyRequired = keys.areRequired(matched);
	const customer = isKeyRequired ? named : undefined;
	const route = keys.rank(matched, customer);
	const refusal =
		isKeyRequired && !customer
			? ({status: 401, reason: unknownKeyReason} as const)
			: host.findHostRefusal(customer);
	const request = createRequest(question, {route, customer}, host);
	const quota = customer && host.quotas?.preview(customer.name);
	return ok({
		host: host.host,
		documentVersion: document.version,
		route: {
			name: route.name,
			hostName: route.hostName,
			pathPrefix: route.pathPrefix,
			kind: route.kind,
			priority: route.priority,
			timeoutMilliseconds: route.timeoutMilliseconds,
			latencyObjectiveMilliseconds: route.latencyObjectiveMilliseconds,
		},
		...(customer ? {customer: customer.name} : {}),
		...(refusal ? {refusal} : {}),
		...(quota
			? {quota: {...quota, units: requestUnits(quota.quota, request.metadata)}}
			: {}),
		pools: refusal ? [] : explainPools(request, host),
	});
}

function explainPools(
	request: ForwardedRequest,
	host: ExplainedHost,
): PoolExplanation[] {
	const {pools} = request.route;
	let total = 0;
	for (const {weight} of pools) {
		total += weight;
	}

	return pools.map(({pool, weight}) => ({
		pool,
		share: total === 0 ? 0 : weight / total,
		...explainPool(request, pool, host),
	}));
}

function explainPool(
	request: ForwardedRequest,
	name: PoolName,
	host: ExplainedHost,
): Omit<PoolExplanation, 'pool' | 'share'> {
	const {model, adapter} = request.metadata;
	const pool = host.pools.get(name);
	const excludedTargets = [
		...host.registry.unsuitableTargets(name, model, adapter),
	].map(([target, exclusion]) => ({target, exclusion}));
	const refuse = (reason: string, retryAfterMilliseconds?: number) => ({
		outcome: 'refuse' as const,
		reason,
		...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		excludedTargets,
	});
	if (!pool || !servesModel(pool, model)) {
		return refuse(unknownModelReason, 0);
	}

	if (host.crashes.isQuarantined(request.observed)) {
		return refuse(
			'a part of the prompt is quarantined',
			quarantineRetryMilliseconds,
		);
	}

	if (!host.mayBegin(request)) {
		return refuse(stoppingReason, startRetryMilliseconds);
	}

	const decision = decideForPool(pool.dispatch, request, host);
	if (decision.kind === 'other-host') {
		return {
			outcome: 'other-host',
			reason: 'the host reaches no target of the pool',
			excludedTargets,
		};
	}

	if (decision.kind !== 'submit') {
		return refuse(decision.reason, decision.retryAfterMilliseconds);
	}

	const dispatch = pool.dispatch.preview(request);
	const {outcome, reason, retryAfterMilliseconds} = dispatch;
	const callerWork = workOfCaller(request, name, host);
	return {
		outcome,
		reason,
		...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		dispatch,
		excludedTargets,
		...(callerWork ? {callerWork} : {}),
	};
}

function workOfCaller(
	request: ForwardedRequest,
	pool: PoolName,
	{sharing}: ExplainedHost,
): PoolExplanation['callerWork'] {
	const usage = sharing?.usage(pool);
	return usage?.preview(() => {
		const recentMilliseconds = usage.get(callerOf(request.options.customer));
		const total = usage.total();
		return {
			recentMilliseconds,
			share: total === 0 ? 0 : Math.min(1, recentMilliseconds / total),
		};
	});
}

function createRequest(
	question: RouteQuestion,
	{
		route,
		customer,
	}: {readonly route: RouteRule; readonly customer: Customer | undefined},
	{clock, codec, document}: ExplainedHost,
): ForwardedRequest {
	const promptParts = question.promptParts as readonly PromptPartId[];
	const {model, adapter} = question;
	return new ForwardedRequest({
		key: '(explained)' as RequestId,
		metadata: {
			id: '(explained)' as RequestId,
			keyDigest: undefined,
			model: model as ModelId | undefined,
			adapter: adapter as AdapterId | undefined,
			promptTokens: question.promptTokens,
			maximumTokens: question.maximumTokens,
			expectedTokens: question.lengthHint,
			prefixKeys: prefixKeysOf(promptParts, model, adapter),
			promptParts,
			remainingMilliseconds: undefined,
			lastEventId: undefined,
			resumedRequest: undefined,
			forwardedHeaders: [],
		},
		route,
		method: 'GET',
		requestTarget: question.path,
		rawHeaders: [],
		body: Buffer.alloc(0),
		customer: customer?.name,
		fingerprint: '(explained)' as Fingerprint,
		response: new UnsentResponse(),
		documentVersion: document?.version ?? 0,
		forwardedBy: undefined,
		hasCallerLeft: () => false,
		arrivedAt: clock.monotonic(),
		codec,
		clock,
		events: new NullEventLogger(),
		onFinished() {
			// The request is never sent, so it never ends.
		},
	});
}
