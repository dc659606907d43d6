import {Buffer} from 'node:buffer';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {canonicalJson, sha256} from '../../base/common/digest.js';
import {type Clock} from '../../base/common/clock.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {type RecordedOutcome} from '../../contracts/claim-record.js';
import {type IdempotencyKey, type TargetId} from '../../contracts/ids.js';
import {type ServiceResponse} from '../../contracts/plain-service.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {
	TargetRefusedError,
	type TargetError,
} from '../../contracts/target-error.js';
import {
	type KnownTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {
	type ClaimDecision,
	type ClaimKeeper,
	type ClaimRequest,
} from './claim-keeper.js';
import {ServiceGateway, type ServiceCall} from './service-gateway.js';

/** Collaborators of the gateway to plain services. */
export type ClaimingServiceGatewayOptions = {
	readonly claims: ClaimKeeper;
	readonly targets: TargetDirectory;
	readonly clock: Clock;
	readonly random: RandomSource;
};

const maximumAttempts = 3;

// Larger answers are not recorded; a later try is told that the call ran and that its answer is gone.
const maximumRecordedBytes = 16_384;

/** Routes calls to plain services. A call that may not be repeated is claimed in the log before it is dispatched. */
export class ClaimingServiceGateway extends ServiceGateway {
	private readonly outstanding = new Map<TargetId, number>();

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
		const dispatched = await this.dispatch(call, signal, () => true);
		return dispatched.mapErr((failure) =>
			failure.wasSent
				? new RequestProblem(
						'interrupted',
						'The service did not answer. The call can be sent again.',
						'unknown',
						1,
						{cause: failure.cause},
					)
				: noTarget(failure.cause),
		);
	}

	private async callOnce(
		call: ServiceCall,
		key: IdempotencyKey,
	): Promise<Result<ServiceResponse, RequestProblem>> {
		const request: ClaimRequest = {
			caller: call.known.caller.id,
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
		const dispatched = await this.dispatch(
			call,
			uninterrupted.signal,
			(error) => error.execution === 'not-run',
		);
		if (dispatched.isOk()) {
			void this.options.claims.settle(request, recordOutcome(dispatched.value));
			return ok(dispatched.value);
		}

		const failure = dispatched.error;
		if (failure.wasSent) {
			void this.options.claims.settle(request, null);
			return err(outcomeUnknown(failure.cause));
		}

		await this.options.claims.release(request);
		return err(noTarget(failure.cause));
	}

	/** Tries targets until one answers, an error forbids another try, or none is left. */
	private async dispatch(
		call: ServiceCall,
		signal: AbortSignal,
		mayRepeat: (error: TargetError) => boolean,
	): Promise<Result<ServiceResponse, DispatchFailure>> {
		const timeoutMilliseconds =
			1000 *
			Math.min(
				call.route.timeoutSeconds,
				call.known.callerClass.deadlineSeconds,
			);
		const deadline = this.options.clock.monotonic() + timeoutMilliseconds;
		const tried = new Set<TargetId>();
		let failure: DispatchFailure = {wasSent: false, cause: undefined};
		for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
			const remaining = deadline - this.options.clock.monotonic();
			const target = this.choose(call, tried);
			if (!target?.service || remaining <= 0 || signal.aborted) {
				break;
			}

			const {id} = target.definition;
			tried.add(id);
			this.addOutstanding(id, 1);
			const answer = await target.service.call(
				{
					requestId: call.requestId,
					method: call.route.method,
					path: call.path,
					contentType: call.contentType,
					body: call.body,
					timeoutMilliseconds: remaining,
					// On a connection that went silent the outcome would be unknown; a failed new one proves that nothing ran.
					newConnection: !call.route.idempotent,
				},
				signal,
			);
			this.addOutstanding(id, -1);
			if (answer.isOk()) {
				return ok(answer.value);
			}

			this.noteFailure(id, answer.error);
			failure = {
				wasSent: failure.wasSent || answer.error.execution === 'unknown',
				cause: answer.error,
			};
			if (!mayRepeat(answer.error)) {
				break;
			}
		}

		return err(failure);
	}

	private choose(
		call: ServiceCall,
		tried: ReadonlySet<TargetId>,
	): KnownTarget | undefined {
		const untried = this.options.targets
			.targetsOf(call.service.pool)
			.filter((target) => !tried.has(target.definition.id));
		const candidates = untried.filter((target) => !target.unavailability);
		// A target marked as unreachable may be back; it is better than none. A leaving one gets no new work.
		const usable =
			candidates.length > 0
				? candidates
				: untried.filter((target) => target.unavailability !== 'leaving');
		const first = usable[this.options.random.integer(usable.length)];
		const second = usable[this.options.random.integer(usable.length)];
		return first && second && this.load(second) < this.load(first)
			? second
			: first;
	}

	private load(target: KnownTarget): number {
		const outstanding = this.outstanding.get(target.definition.id) ?? 0;
		return outstanding / target.definition.slots;
	}

	private addOutstanding(id: TargetId, amount: number): void {
		this.outstanding.set(id, (this.outstanding.get(id) ?? 0) + amount);
	}

	private noteFailure(id: TargetId, error: TargetError): void {
		if (error instanceof TargetRefusedError) {
			if (error.reason === 'leaving') {
				this.options.targets.markUnavailable(id, 'leaving');
			}

			return;
		}

		this.options.targets.markUnavailable(id, 'unreachable');
	}
}

type DispatchFailure = {
	/** True when a byte of the call may have reached a target. */
	readonly wasSent: boolean;
	readonly cause: TargetError | undefined;
};

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
			return err(outcomeUnknown(undefined));
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

function outcomeUnknown(cause: TargetError | undefined): RequestProblem {
	return new RequestProblem(
		'outcome-unknown',
		'The call was sent and may have run; its outcome is not known. Check before making a new call.',
		'unknown',
		undefined,
		{cause},
	);
}

function noTarget(cause: TargetError | undefined): RequestProblem {
	return new RequestProblem(
		'no-target',
		'Nothing can take the call now. Send it again.',
		'not-run',
		1,
		{cause},
	);
}
