import {Buffer} from 'node:buffer';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {canonicalJson, sha256} from '../../base/common/digest.js';
import {type RecordedOutcome} from '../../contracts/claim-record.js';
import {
	type IdempotencyKey,
	type OfferingName,
	type PoolName,
} from '../../contracts/ids.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	type ServicePoolDispatch,
	type ServiceFailure,
} from '../dispatch/service-pool-dispatch.js';
import {
	type ClaimDecision,
	type ClaimManager,
	type ClaimRequest,
} from './claim-manager.js';
import {ServiceGateway, type ServiceCall} from './service-gateway.js';

/** Finds the dispatch of a pool of plain services. */
export abstract class ServiceDispatchDirectory {
	/** Returns undefined if the pool has no dispatch. */
	abstract serviceDispatchOf(pool: PoolName): ServicePoolDispatch | undefined;
}

/** Collaborators of the claiming gateway. */
export type ClaimingServiceGatewayOptions = {
	readonly claims: ClaimManager;
	readonly dispatches: ServiceDispatchDirectory;
};

// Larger bodies are not recorded. A repeated call then receives the problem `outcome-unknown` with the status of the
// first response.
const maximumRecordedBodyBytes = 16_384;

/** Routes calls to plain services. A call that is not idempotent is claimed in the log before it is dispatched. */
export class ClaimingServiceGateway extends ServiceGateway {
	constructor(private readonly options: ClaimingServiceGatewayOptions) {
		super();
	}

	call(
		call: ServiceCall,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, RequestProblem> {
		return new ResultAsync(
			call.key === undefined
				? this.callIdempotent(call, signal)
				: this.callNonIdempotent(call, call.key),
		);
	}

	private async callIdempotent(
		call: ServiceCall,
		signal: AbortSignal,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const dispatched = await this.dispatch(call, signal);
		return dispatched.mapErr((failure) =>
			failure.execution === 'unknown'
				? new RequestProblem(
						'interrupted',
						'The service did not respond. The call is idempotent and can be sent again.',
						'unknown',
						1,
					)
				: refusalProblem(failure),
		);
	}

	private async callNonIdempotent(
		call: ServiceCall,
		key: IdempotencyKey,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const request: ClaimRequest = {
			caller: call.authenticated.caller.id,
			key,
			bodyDigest: digestOf(call),
			requestId: call.requestId,
		};
		const decision = await this.options.claims.claim(request);
		if (decision.isErr()) {
			return err(
				new RequestProblem(
					'store-outage',
					'The call could not be recorded, so it was not executed. Send it again with the same key.',
					'not-run',
					2,
					{cause: decision.error},
				),
			);
		}

		if (decision.value.kind !== 'granted') {
			return respondToRepeatedCall(decision.value);
		}

		return this.dispatchClaimed(call, request);
	}

	private async dispatchClaimed(
		call: ServiceCall,
		request: ClaimRequest,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		// The call is not cancelled if the caller disconnects, because its outcome must be recorded.
		const neverAborted = new AbortController();
		const dispatched = await this.dispatch(call, neverAborted.signal);
		if (dispatched.isOk()) {
			void this.options.claims.settle(
				request,
				toRecordedOutcome(dispatched.value),
			);
			return ok(dispatched.value);
		}

		const failure = dispatched.error;
		if (failure.execution === 'unknown') {
			void this.options.claims.settle(request, null);
			return err(outcomeUnknownProblem());
		}

		await this.options.claims.release(request);
		return err(refusalProblem(failure));
	}

	private async dispatch(
		call: ServiceCall,
		signal: AbortSignal,
	): Promise<Result<ServiceResponse, ServiceFailure>> {
		const dispatch = this.options.dispatches.serviceDispatchOf(
			call.service.pool,
		);
		if (!dispatch) {
			return err({execution: 'not-run', code: 'no-target'});
		}

		return dispatch.call(
			{
				requestId: call.requestId,
				caller: call.authenticated.caller.id,
				urgency: call.authenticated.callerClass.urgency,
				route: `${call.service.name}${call.route.pathPrefix}` as OfferingName,
				isIdempotent: call.route.idempotent,
				timeoutMilliseconds:
					1000 *
					Math.min(
						call.route.timeoutSeconds,
						call.authenticated.callerClass.deadlineSeconds,
					),
				method: call.route.method,
				path: call.path,
				contentType: call.contentType,
				body: call.body,
			},
			signal,
		);
	}
}

function digestOf(call: ServiceCall): string {
	return sha256(
		canonicalJson({
			service: call.service.name,
			method: call.route.method,
			path: call.path,
			body: sha256(call.body),
		}),
	);
}

function toRecordedOutcome(response: ServiceResponse): RecordedOutcome {
	return {
		status: response.status,
		contentType: response.contentType,
		body:
			response.body.byteLength <= maximumRecordedBodyBytes
				? Buffer.from(response.body).toString('base64')
				: undefined,
	};
}

function respondToRepeatedCall(
	decision: Exclude<ClaimDecision, {kind: 'granted'}>,
): Result<ServiceResponse, RequestProblem> {
	switch (decision.kind) {
		case 'settled': {
			return respondWithRecordedOutcome(decision.outcome);
		}

		case 'conflict': {
			return err(
				new RequestProblem(
					'key-conflict',
					'The key was used for a different call. Use a new key for each call.',
					'not-run',
				),
			);
		}

		case 'expired': {
			return err(
				new RequestProblem(
					'key-expired',
					'The key is older than the time for which keys are retained. Check whether an earlier call with it was executed before sending a new one.',
					'not-run',
				),
			);
		}

		case 'running': {
			return err(
				new RequestProblem(
					'key-in-progress',
					'An earlier call with this key is still running. Send the call again later with the same key.',
					'unknown',
					2,
				),
			);
		}

		case 'unknown': {
			return err(outcomeUnknownProblem());
		}
	}
}

function respondWithRecordedOutcome(
	outcome: RecordedOutcome,
): Result<ServiceResponse, RequestProblem> {
	if (outcome.body === undefined) {
		return err(
			new RequestProblem(
				'outcome-unknown',
				`The call was executed with status ${outcome.status}, but its response was too large to be recorded.`,
				'unknown',
			),
		);
	}

	return ok({
		status: outcome.status,
		contentType: outcome.contentType,
		body: Buffer.from(outcome.body, 'base64'),
	});
}

function outcomeUnknownProblem(): RequestProblem {
	return new RequestProblem(
		'outcome-unknown',
		'The call was sent and may have been executed; its outcome is unknown. Check its effect before sending a new call.',
		'unknown',
	);
}

function refusalProblem(failure: ServiceFailure): RequestProblem {
	return new RequestProblem(
		failure.code,
		refusalMessages[failure.code],
		'not-run',
		failure.code === 'deadline' ? undefined : 1,
	);
}

const refusalMessages: Readonly<Record<ServiceFailure['code'], string>> = {
	'caller-limit':
		'This key has reached its limit of concurrent requests. Send the call again later.',
	overload: 'The service is overloaded. Send the call again later.',
	deadline:
		'The call cannot finish before its deadline, so it was not executed.',
	'no-target': 'No server is available for the call. Send it again.',
};
