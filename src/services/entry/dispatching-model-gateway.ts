import {type Result} from 'neverthrow';
import {type Clock} from '../../base/common/clock.js';
import {canonicalJson, sha256} from '../../base/common/digest.js';
import {type RequestFingerprints} from '../../contracts/request-fingerprints.js';
import {type Fingerprint, type PoolName} from '../../contracts/ids.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {GenerationRun} from '../dispatch/generation-run.js';
import {type EnginePoolDispatch} from '../dispatch/engine-pool-dispatch.js';
import {type DemandCounter} from './demand-counter.js';
import {
	ModelGateway,
	type ResponsePart,
	type ModelRequest,
} from './model-gateway.js';

/** Finds the dispatch of an engine pool. */
export abstract class EngineDispatchDirectory {
	/** Returns undefined if the pool has no dispatch. */
	abstract engineDispatchOf(pool: PoolName): EnginePoolDispatch | undefined;
}

const fingerprintLength = 32;

/** Runs each model request through the dispatch of the pool that serves its model. */
export class DispatchingModelGateway extends ModelGateway {
	constructor(
		private readonly directory: EngineDispatchDirectory,
		private readonly demand: DemandCounter,
		private readonly clock: Clock,
	) {
		super();
	}

	async *run(
		request: ModelRequest,
		signal: AbortSignal,
	): AsyncGenerator<Result<ResponsePart, RequestProblem>> {
		const {model} = request.offering;
		const arrivedAt = this.clock.monotonic();
		const run = new GenerationRun(
			request,
			fingerprintsOf(request),
			arrivedAt,
			arrivedAt + request.authenticated.callerClass.deadlineSeconds * 1000,
		);
		const dispatch = this.directory.engineDispatchOf(model.pool);
		const abandon = () => {
			dispatch?.abandon(run);
		};

		if (dispatch) {
			dispatch.submit(run);
		} else {
			run.fail(noTargetProblem());
		}

		signal.addEventListener('abort', abandon, {once: true});
		const endTracking = this.demand.trackRequest(model.id);
		try {
			let part = await run.nextPart();
			while (part) {
				yield part;
				part = await run.nextPart();
			}
		} finally {
			endTracking();
			signal.removeEventListener('abort', abandon);
			if (!run.isEnded) {
				abandon();
			}
		}
	}
}

function noTargetProblem(): RequestProblem {
	return new RequestProblem(
		'no-target',
		'No server is available for the request. Send it again.',
		'not-run',
		1,
	);
}

/** Returns digests that are equal for repetitions of a request, and for other requests with the same messages. */
export function fingerprintsOf(request: ModelRequest): RequestFingerprints {
	const {messages, offering} = request;
	return {
		request: digest({offering: offering.offering.name, messages}),
		// The last message is the question of this request.
		parts: messages.slice(0, -1).map((message) => digest(message)),
	};
}

function digest(value: unknown): Fingerprint {
	return sha256(canonicalJson(value)).slice(
		0,
		fingerprintLength,
	) as Fingerprint;
}
