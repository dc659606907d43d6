import {type ResultAsync} from 'neverthrow';
import {
	type PlainServiceDefinition,
	type ServiceRoute,
} from '../../contracts/fleet-document.js';
import {type IdempotencyKey, type RequestId} from '../../contracts/ids.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type AuthenticatedCaller} from './caller-directory.js';

/** A call to a plain service that passed the checks of the entry server. */
export type ServiceCall = {
	readonly requestId: RequestId;
	readonly authenticated: AuthenticatedCaller;
	readonly service: PlainServiceDefinition;
	readonly route: ServiceRoute;
	/** Path below the service, with the query. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Undefined if the route is idempotent. */
	readonly key: IdempotencyKey | undefined;
};

/** Runs calls to plain services. */
export abstract class ServiceGateway {
	/** Returns the response of the service. Aborting the signal cancels an idempotent call; another call runs to its end. */
	abstract call(
		call: ServiceCall,
		signal: AbortSignal,
	): ResultAsync<ServiceResponse, RequestProblem>;
}
