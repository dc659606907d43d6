import {type ResultAsync} from 'neverthrow';
import {
	type PlainServiceDefinition,
	type ServiceRoute,
} from '../../contracts/fleet-document.js';
import {type IdempotencyKey, type RequestId} from '../../contracts/ids.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type AuthenticatedCaller} from './caller-directory.js';

/** A call to a plain service after it passed the checks at the entry. */
export type ServiceCall = {
	readonly requestId: RequestId;
	readonly authenticated: AuthenticatedCaller;
	readonly service: PlainServiceDefinition;
	readonly route: ServiceRoute;
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Present when the route is not idempotent. */
	readonly key: IdempotencyKey | undefined;
};

/** Runs calls to plain services. */
export abstract class ServiceGateway {
	abstract call(
		call: ServiceCall,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, RequestProblem>;
}
