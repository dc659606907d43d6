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
	abstract serviceDispatchOf(pool: PoolName): ServicePoolDispatch | undefined;
}

/** Collaborators of the gateway to plain services. */
export type ClaimingServiceGatewayOptions = {
	readonly claims: ClaimManager;
	readonly dispatches: ServiceDispatchDirectory;
};

// Larger answers are not recorded; a later try is told that the call ran and that its answer is gone.
const maximumRecordedBytes = 16_384;

/** Routes calls to plain services. A call that may not be repeated is claimed in the log before it is dispatched. */
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
				? this.callRepeatable(call, signal)
				: this.callOnce(call, call.key),
		);
	}

	private async callRepeatable(
		call: ServiceCall,
		signal: AbortSignal,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const dispatched = await this.dispatch(call, signal);
		return dispatched.mapErr((failure) =>
			failure.execution === 'unknown'
				? new RequestProblem(
						'interrupted',
						'The service did not answer. The call can be sent again.',
						'unknown',
						1,
					)
				: refused(failure),
		);
	}

	private async callOnce(
		call: ServiceCall,
		key: IdempotencyKey,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const request: ClaimRequest = {
			caller: call.authenticated.caller.id,
			key,
			bodyDigest: callDigest(call),
			requestId: call.requestId,
		};
		const decision = await this.options.claims.claim(request);
		if (decision.isErr()) {
			return err(
				new RequestProblem(
					'store-outage',
					'The call could not be recorded, so it was not made. Send it again with the same key.',
					'not-run',
					2,
					{cause: decision.error},
				),
			);
		}

		if (decision.value.kind !== 'granted') {
			return answerEarlierTry(decision.value);
		}

		return this.dispatchOnce(call, request);
	}

	private async dispatchOnce(
		call: ServiceCall,
		request: ClaimRequest,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		// The caller may go while the call runs; its outcome must be recorded all the same.
		const uninterrupted = new AbortController();
		const dispatched = await this.dispatch(call, uninterrupted.signal);
		if (dispatched.isOk()) {
			void this.options.claims.settle(request, recordOutcome(dispatched.value));
			return ok(dispatched.value);
		}

		const failure = dispatched.error;
		if (failure.execution === 'unknown') {
			void this.options.claims.settle(request, null);
			return err(outcomeUnknown());
		}

		await this.options.claims.release(request);
		return err(refused(failure));
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

function callDigest(call: ServiceCall): string {
	return sha256(
		canonicalJson({
			service: call.service.name,
			method: call.route.method,
			path: call.path,
			body: sha256(call.body),
		}),
	);
}

function recordOutcome(response: ServiceResponse): RecordedOutcome {
	return {
		status: response.status,
		contentType: response.contentType,
		body:
			response.body.byteLength <= maximumRecordedBytes
				? Buffer.from(response.body).toString('base64')
				: undefined,
	};
}

function answerEarlierTry(
	decision: Exclude<ClaimDecision, {kind: 'granted'}>,
): Result<ServiceResponse, RequestProblem> {
	switch (decision.kind) {
		case 'settled': {
			return answerRecorded(decision.outcome);
		}

		case 'conflict': {
			return err(
				new RequestProblem(
					'key-conflict',
					'The key was used for another call. Use a new key for a new call.',
					'not-run',
				),
			);
		}

		case 'expired': {
			return err(
				new RequestProblem(
					'key-expired',
					'The key is older than the time for which keys are remembered. Check whether an earlier try ran before making a new call.',
					'not-run',
				),
			);
		}

		case 'running': {
			return err(
				new RequestProblem(
					'key-in-progress',
					'An earlier try with this key is still running. Ask again with the same key.',
					'unknown',
					2,
				),
			);
		}

		case 'unknown': {
			return err(outcomeUnknown());
		}
	}
}

function answerRecorded(
	outcome: RecordedOutcome,
): Result<ServiceResponse, RequestProblem> {
	if (outcome.body === undefined) {
		return err(
			new RequestProblem(
				'outcome-unknown',
				`The call ran with status ${outcome.status}, but its answer was too large to keep.`,
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

function outcomeUnknown(): RequestProblem {
	return new RequestProblem(
		'outcome-unknown',
		'The call was sent and may have run; its outcome is not known. Check before making a new call.',
		'unknown',
	);
}

function refused(failure: ServiceFailure): RequestProblem {
	return new RequestProblem(
		failure.code,
		refusalTexts[failure.code],
		'not-run',
		failure.code === 'deadline' ? undefined : 1,
	);
}

const refusalTexts: Readonly<Record<ServiceFailure['code'], string>> = {
	'caller-limit':
		'This key has as many requests in progress as it may have. Send the call again later.',
	overload: 'The service is overloaded. Send the call again later.',
	deadline: 'The call cannot finish in time, so it was not made.',
	'no-target': 'Nothing can take the call now. Send it again.',
};
