import {type Clock} from '../../base/common/clock.js';
import {type EventLogger} from '../../base/common/event-logger.js';
import {type MetricRegistry} from '../../base/common/metric-registry.js';
import {type RandomSource} from '../../base/common/random-source.js';
import {requiredArtifactKeys} from '../../contracts/artifact.js';
import {type Execution} from '../../contracts/execution.js';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {
	type ArtifactKey,
	type HostId,
	type PoolName,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../contracts/ids.js';
import {promptPrefixDigests} from '../../contracts/prompt-prefix.js';
import {
	RequestProblem,
	type ProblemCode,
} from '../../contracts/request-problem.js';
import {
	TargetRefusedError,
	TargetUnreachableError,
} from '../../contracts/target-error.js';
import {type CallerLimiter} from '../../core/admission/caller-limiter.js';
import {type QuarantineManager} from '../entry/quarantine-manager.js';
import {
	GenerationSession,
	SilenceObserver,
	type GenerationFailedError,
} from '../generation-session.js';
import {detectEndedIncarnation} from '../targets/failure-detector.js';
import {
	type TrackedTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from './dispatch-contracts.js';
import {Dispatcher} from './dispatcher.js';
import {AbstractPoolDispatch} from './abstract-pool-dispatch.js';
import {type AttemptKey, type GenerationRun} from './generation-run.js';

/** Timeouts after which a stream without progress is checked. */
export type ProgressTimeouts = {
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly pingMilliseconds: number;
};

/** Several times the latency objectives, so that a slow target is not mistaken for a silent connection. */
export const defaultProgressTimeouts: ProgressTimeouts = {
	firstTokenMilliseconds: 10_000,
	betweenTokensMilliseconds: 3000,
	pingMilliseconds: 1000,
};

/** Dependencies of the dispatch of one engine pool. */
export type EnginePoolDispatchOptions = {
	readonly pool: PoolName;
	readonly host: HostId;
	readonly targets: TargetDirectory;
	readonly document: () => FleetDocument | undefined;
	readonly quarantine: QuarantineManager;
	/** Shared by all pools and plain services of the host. */
	readonly limiter: CallerLimiter;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/**
	 * Announces to the other hosts that the target is reserved for a suspect. Resolves to false if another host has
	 * reserved it too and takes precedence.
	 */
	readonly reserveTarget: (target: TargetId) => Promise<boolean>;
	readonly timeouts?: ProgressTimeouts;
};

// Each lost target costs the caller a full first-token timeout, so further submissions would miss the deadline.
const maximumSubmissions = 3;

const priorityByUrgency = {urgent: 0, standard: 10, deferred: 20};

/** Runs the model requests of one engine pool: the dispatcher assigns targets, this class calls the engines. */
export class EnginePoolDispatch extends AbstractPoolDispatch {
	readonly dispatcher: Dispatcher;
	private readonly runs = new Map<RequestId, GenerationRun>();
	/** Runs whose target is silent, by the id of the submission that is queued to continue them on another target. */
	private readonly standbys = new Map<RequestId, SilentAttempt>();

	constructor(private readonly options: EnginePoolDispatchOptions) {
		super();
		this.dispatcher = new Dispatcher({
			clock: options.clock,
			random: options.random,
			host: options.host,
			port: new EnginePort(this),
			directory: new ResidentCandidates(options),
			logger: options.events,
			callerLimiter: options.limiter,
		});
	}

	/** Submits a run to the dispatcher. The response is read from the run. */
	submit(run: GenerationRun): void {
		const {quarantine} = this.options;
		if (run.isEnded) {
			return;
		}

		if (this.isDisposed) {
			run.fail(interruptedProblem());
			return;
		}

		const status = quarantine.status(run.fingerprints);
		if (status === 'quarantined') {
			run.fail(this.quarantinedProblem(run));
			return;
		}

		run.submissionCount += 1;
		if (run.submissionCount - run.submissionsNotRun > maximumSubmissions) {
			run.fail(interruptedProblem());
			return;
		}

		this.runs.set(run.submissionId, run);
		this.post({
			kind: 'submitted',
			item: this.toWorkItem(run, status === 'suspect'),
		});
	}

	/** Ends a run whose caller no longer waits for the response. */
	abandon(run: GenerationRun): void {
		run.close();
		this.removeRun(run);
		this.post({kind: 'abandoned', request: run.submissionId});
	}

	/**
	 * Queues a silent run for another target. The silent attempt goes on until the other one starts, because the target
	 * may respond again before another one has room.
	 */
	submitStandby(silent: SilentAttempt): void {
		const {run} = silent;
		const request = run.nextSubmissionId;
		if (
			this.standbys.has(request) ||
			run.submissionCount - run.submissionsNotRun >= maximumSubmissions ||
			this.options.quarantine.status(run.fingerprints) !== 'clear'
		) {
			return;
		}

		this.standbys.set(request, silent);
		this.post({
			kind: 'submitted',
			item: {
				...this.toWorkItem(run, false),
				request,
				avoidedTargets: [silent.binding.target],
			},
		});
	}

	/** Withdraws the queued submission of a run, whose target responds again or whose attempt has ended. */
	withdrawStandby(run: GenerationRun): void {
		if (this.standbys.delete(run.nextSubmissionId)) {
			this.post({kind: 'abandoned', request: run.nextSubmissionId});
		}
	}

	/** Starts one attempt on the assigned target. */
	startAttempt(binding: Binding): void {
		const silent = this.standbys.get(binding.request);
		if (silent?.binding.target === binding.target) {
			// The target responds again, so that the next ping resumes its own attempt.
			this.withdrawStandby(silent.run);
			return;
		}

		if (silent) {
			this.replaceSilentAttempt(silent, binding.request);
		}

		const run = this.runs.get(binding.request);
		const target = this.options.targets.target(binding.target);
		if (!run || this.requeueIfStatusChanged(run, binding)) {
			return;
		}

		if (!target?.engine) {
			this.post({
				kind: 'refused',
				...toAttemptIdentity(binding),
				reason: 'not-resident',
			});
			return;
		}

		void (binding.item.suspect
			? this.attemptIsolated(run, binding, target)
			: this.attempt(run, binding, target));
	}

	/** Cancels one attempt whose response is no longer needed. */
	cancelAttempt(attempt: Attempt): void {
		const run = this.runs.get(attempt.request);
		run?.cancelAttempt({
			submission: run.submissionCount,
			attempt: attempt.attempt,
		});
	}

	/** Fails a run that the dispatcher refused. */
	refuse(refusal: WorkRefusal): void {
		if (this.standbys.delete(refusal.item.request)) {
			return;
		}

		const run = this.runs.get(refusal.item.request);
		if (!run) {
			return;
		}

		this.removeRun(run);
		run.fail(
			this.mayHaveRun(run)
				? interruptedProblem()
				: new RequestProblem(
						refusal.code,
						refusalMessages[refusal.code],
						'not-run',
						refusal.code === 'deadline'
							? undefined
							: Math.max(1, refusal.retryAfterMilliseconds / 1000),
					),
		);
	}

	/** Submits a run again after its last attempt failed, to continue from the delivered tokens, or fails it. */
	continueOrFail(item: WorkItem, execution: Execution): void {
		if (this.standbys.delete(item.request)) {
			return;
		}

		const run = this.runs.get(item.request);
		if (!run) {
			return;
		}

		this.removeRun(run);
		if (execution === 'not-run' && !this.mayHaveRun(run)) {
			run.fail(
				new RequestProblem(
					'no-target',
					'Nothing can take the request now. Send it again.',
					'not-run',
					1,
				),
			);
			return;
		}

		if (execution === 'not-run') {
			// Only submissions that may have been executed count towards the limit; a target that is already dead does not.
			run.submissionsNotRun += 1;
		}

		this.submit(run);
	}

	override dispose(): void {
		super.dispose();
		for (const run of this.runs.values()) {
			run.fail(interruptedProblem());
		}

		this.runs.clear();
		this.standbys.clear();
	}

	protected isIdle(): boolean {
		return this.runs.size === 0;
	}

	/** Ends the silent attempt of a run for which another target is assigned now. The run continues under the new submission. */
	private replaceSilentAttempt(
		{run, key, binding}: SilentAttempt,
		request: RequestId,
	): void {
		this.standbys.delete(request);
		run.cancelAttempt(key);
		run.endAttempt(key);
		this.runs.delete(binding.request);
		this.post({kind: 'abandoned', request: binding.request});
		run.submissionCount += 1;
		this.runs.set(request, run);
	}

	/** Requeues a request whose quarantine status changed while it was queued. Returns true if it was requeued. */
	private requeueIfStatusChanged(
		run: GenerationRun,
		binding: Binding,
	): boolean {
		const status = this.options.quarantine.status(run.fingerprints);
		if (status === 'clear' || (status === 'suspect' && binding.item.suspect)) {
			return false;
		}

		this.requeue(run, binding);
		return true;
	}

	private requeue(run: GenerationRun, binding: Binding): void {
		this.removeRun(run);
		this.post({kind: 'abandoned', request: binding.request});
		run.submissionsNotRun += 1;
		this.submit(run);
	}

	/**
	 * Starts a suspect after its target has been reserved with the other hosts. If two suspects shared a target, its
	 * death would be attributed to both, and the harmless one would be quarantined.
	 */
	private async attemptIsolated(
		run: GenerationRun,
		binding: Binding,
		target: TrackedTarget,
	): Promise<void> {
		const isReserved = await this.options.reserveTarget(binding.target);
		if (run.isEnded || this.runs.get(binding.request) !== run) {
			return;
		}

		if (!isReserved) {
			this.requeue(run, binding);
			return;
		}

		if (!this.requeueIfStatusChanged(run, binding)) {
			await this.attempt(run, binding, target);
		}
	}

	private async attempt(
		run: GenerationRun,
		binding: Binding,
		target: TrackedTarget,
	): Promise<void> {
		const {engine} = target;
		if (!engine) {
			return;
		}

		const key = {submission: run.submissionCount, attempt: binding.attempt};

		const signal = run.beginAttempt(key);
		const incarnation = await currentIncarnation(binding.item, target);
		const session = new GenerationSession({
			engine,
			request: this.toGenerationRequest(run, key),
			...(this.options.timeouts ?? defaultProgressTimeouts),
			silenceObserver: new RunSilenceObserver(this, this.options, {
				run,
				binding,
				key,
			}),
			logger: this.options.events,
		});
		let tokens = run.deliveredTokens.length;
		for await (const progress of session.run(signal)) {
			if (progress.isErr()) {
				await this.handleFailedAttempt(run, binding, {
					target,
					incarnation,
					key,
					failure: progress.error,
				});
				return;
			}

			if (progress.value.kind === 'token') {
				if (!run.acceptToken(key, progress.value.text)) {
					break;
				}

				tokens += 1;
				this.post({kind: 'progressed', ...toAttemptIdentity(binding), tokens});
				continue;
			}

			const count = progress.value.tokens.length;
			if (run.complete(key, count, progress.value.reason)) {
				this.options.quarantine.recordAnswer(run.fingerprints);
				this.removeRun(run);
			}

			this.post({
				kind: 'completed',
				...toAttemptIdentity(binding),
				tokens: count,
			});
			return;
		}

		run.endAttempt(key);
	}

	/** Updates the target and quarantine state after a failed attempt and notifies the dispatcher. */
	private async handleFailedAttempt(
		run: GenerationRun,
		binding: Binding,
		{target, incarnation, key, failure}: FailedAttempt,
	): Promise<void> {
		this.options.metrics.count('daisylever_generation_failures_total', {
			reason: failure.reason,
		});
		run.endAttempt(key);
		if (failure.reason === 'aborted') {
			return;
		}

		this.withdrawStandby(run);
		if (failure.reason === 'conflict') {
			// The target contradicts tokens that the caller has received, so no continuation would be consistent.
			this.removeRun(run);
			run.fail(interruptedProblem());
			this.post({kind: 'abandoned', request: binding.request});
			return;
		}

		if (
			failure.cause instanceof TargetRefusedError &&
			failure.execution === 'not-run'
		) {
			this.handleRefusal(run, binding, failure.cause);
			return;
		}

		const {id} = target.definition;
		if (failure.isTargetSuspect) {
			this.options.targets.markUnavailable(id, 'unreachable');
		}

		const wasSent =
			!(failure.cause instanceof TargetUnreachableError) ||
			failure.execution === 'unknown';
		const endedIncarnation = wasSent
			? await detectEndedIncarnation(target, incarnation)
			: undefined;
		if (endedIncarnation === undefined || run.isEnded) {
			this.post({
				kind: 'lost',
				...toAttemptIdentity(binding),
				execution: failure.execution,
			});
			return;
		}

		this.options.targets.markUnavailable(id, 'unreachable');
		// Submitted again with an updated suspect flag, because a suspect must run alone.
		this.removeRun(run);
		this.post({kind: 'abandoned', request: binding.request});
		await this.options.quarantine.reportDeath({
			fingerprints: run.fingerprints,
			target: id,
			targetIncarnation: endedIncarnation,
		});
		this.submit(run);
	}

	private handleRefusal(
		run: GenerationRun,
		binding: Binding,
		refusal: TargetRefusedError,
	): void {
		if (refusal.reason === 'leaving') {
			this.options.targets.markUnavailable(binding.target, 'leaving');
		}

		if (refusal.reason === 'not-resident') {
			// Otherwise further attempts would go to the same target until its next report.
			const missingArtifact = requiredArtifacts(
				this.options.document(),
				binding.item,
			).at(-1);
			if (missingArtifact !== undefined) {
				this.options.targets.markArtifactAbsent(
					binding.target,
					missingArtifact,
				);
			}
		}

		if (refusal.reason !== 'invalid') {
			this.post({
				kind: 'refused',
				...toAttemptIdentity(binding),
				reason: refusal.reason,
			});
			return;
		}

		this.removeRun(run);
		run.fail(
			this.mayHaveRun(run)
				? interruptedProblem()
				: new RequestProblem(
						'bad-request',
						'The model does not take this request.',
						'not-run',
					),
		);
		this.post({kind: 'abandoned', request: binding.request});
	}

	private mayHaveRun(run: GenerationRun): boolean {
		return (
			run.deliveredTokens.length > 0 ||
			run.submissionCount - run.submissionsNotRun > 1
		);
	}

	private removeRun(run: GenerationRun): void {
		this.withdrawStandby(run);
		this.runs.delete(run.submissionId);
		this.disposeIfIdle();
	}

	private quarantinedProblem(run: GenerationRun): RequestProblem {
		return new RequestProblem(
			'quarantined',
			'This request, or a part of it, made its server fail several times and is refused for a while.',
			run.hasStartedAttempt ? 'unknown' : 'not-run',
			this.options.quarantine.remainingSeconds(run.fingerprints),
		);
	}

	private toWorkItem(run: GenerationRun, isSuspect: boolean): WorkItem {
		const {offering, model} = run.request.offering;
		const {caller, callerClass} = run.request.authenticated;
		const messages = [...run.request.messages];
		let promptCharacters = 0;
		for (const message of messages) {
			promptCharacters += message.content.length;
		}

		return {
			request: run.submissionId,
			caller: caller.id,
			urgency: callerClass.urgency,
			offering: offering.name,
			model: model.id,
			adapter: offering.adapter,
			promptCharacters,
			maximumTokens: run.request.maximumTokens,
			prefixes: [
				...promptPrefixDigests({
					model: model.id,
					adapter: offering.adapter,
					messages,
				}),
			].reverse(),
			remainingMilliseconds: run.deadline - this.options.clock.monotonic(),
			// A generation has no side effects, so it may run more than once.
			idempotent: true,
			fingerprint: run.fingerprints.request,
			suspect: isSuspect,
		};
	}

	private toGenerationRequest(run: GenerationRun, key: AttemptKey) {
		const {offering, model} = run.request.offering;
		return {
			// Unique per attempt, so that an engine does not treat it as a duplicate of an earlier attempt.
			requestId: `${run.submissionId}.${key.attempt}` as RequestId,
			model: model.id,
			adapter: offering.adapter,
			messages: [...run.request.messages],
			maximumTokens: run.request.maximumTokens,
			priority:
				priorityByUrgency[run.request.authenticated.callerClass.urgency],
			continuation: [...run.deliveredTokens],
		};
	}
}

/** An attempt whose target does not respond at present. */
type SilentAttempt = {
	readonly run: GenerationRun;
	readonly binding: Binding;
	readonly key: AttemptKey;
};

/** Keeps a silent attempt until another target has room for its run or the deadline passes. */
class RunSilenceObserver extends SilenceObserver {
	constructor(
		private readonly poolDispatch: EnginePoolDispatch,
		private readonly options: Pick<
			EnginePoolDispatchOptions,
			'clock' | 'targets'
		>,
		private readonly attempt: SilentAttempt,
	) {
		super();
	}

	continueWaiting(): boolean {
		const {binding, run} = this.attempt;
		const {clock, targets} = this.options;
		// A suspect runs alone on a reserved target, so that its attempt has to end first.
		if (binding.item.suspect || clock.monotonic() >= run.deadline) {
			return false;
		}

		targets.markUnavailable(binding.target, 'unreachable');
		this.poolDispatch.submitStandby(this.attempt);
		return true;
	}

	silenceEnded(): void {
		this.poolDispatch.withdrawStandby(this.attempt.run);
	}
}

type FailedAttempt = {
	readonly target: TrackedTarget;
	/** Incarnation of the target when the attempt started, if known. */
	readonly incarnation: TargetIncarnation | undefined;
	readonly key: AttemptKey;
	readonly failure: GenerationFailedError;
};

/**
 * Returns the incarnation of a target before an attempt starts, because a target that restarts quickly may report its
 * new incarnation before the loss is investigated. For a suspect the target is asked directly: a report can predate a
 * restart, and a second death counts against the suspect only if the incarnation differs.
 */
async function currentIncarnation(
	item: WorkItem,
	target: TrackedTarget,
): Promise<TargetIncarnation | undefined> {
	const reported = target.report?.incarnation;
	if (!item.suspect) {
		return reported;
	}

	const response = await target.engine?.ping(
		defaultProgressTimeouts.pingMilliseconds,
	);
	return response?.isOk()
		? (response.value.incarnation as TargetIncarnation)
		: reported;
}

/** Forwards the decisions of the dispatcher to the pool dispatch. */
class EnginePort extends DispatchPort {
	constructor(private readonly poolDispatch: EnginePoolDispatch) {
		super();
	}

	dispatch(binding: Binding): void {
		this.poolDispatch.startAttempt(binding);
	}

	refuse(refusal: WorkRefusal): void {
		this.poolDispatch.refuse(refusal);
	}

	fail(item: WorkItem, execution: Execution): void {
		this.poolDispatch.continueOrFail(item, execution);
	}

	demote(): void {
		// Engines cannot change the priority of running work. The dispatcher itself counts it as long.
	}

	cancel(attempt: Attempt): void {
		this.poolDispatch.cancelAttempt(attempt);
	}
}

type Candidates = {
	readonly required: readonly ArtifactKey[];
	readonly targets: readonly TargetId[];
	readonly targetSet: ReadonlySet<TargetId>;
};

/** Lists the targets whose latest report shows all required artifacts as resident, in any version. */
class ResidentCandidates extends CandidateDirectory {
	private readonly cache = new Map<string, Candidates>();

	constructor(private readonly options: EnginePoolDispatchOptions) {
		super();
		options.targets.changed.subscribe((target) => {
			this.invalidate(target);
		});
	}

	targetsFor(item: WorkItem): readonly TargetId[] {
		const key = `${item.model}|${item.adapter ?? ''}`;
		let candidates = this.cache.get(key);
		if (!candidates) {
			candidates = this.find(item);
			this.cache.set(key, candidates);
		}

		return candidates.targets;
	}

	/**
	 * Removes cached lists that a change has made stale. A large pool sends thousands of reports per second, most of
	 * which change no list.
	 */
	private invalidate(target: TrackedTarget | undefined): void {
		if (!target) {
			this.cache.clear();
			return;
		}

		if (target.pool.name !== this.options.pool) {
			return;
		}

		for (const [key, {required, targetSet}] of this.cache) {
			if (targetSet.has(target.definition.id) !== isUsable(target, required)) {
				this.cache.delete(key);
			}
		}
	}

	private find(item: WorkItem): Candidates {
		const required = requiredArtifacts(this.options.document(), item);
		const targets = this.options.targets
			.targetsInPool(this.options.pool)
			.filter((target) => isUsable(target, required))
			.map((target) => target.definition.id);
		return {required, targets, targetSet: new Set(targets)};
	}
}

function requiredArtifacts(
	document: FleetDocument | undefined,
	{model, adapter}: WorkItem,
): ArtifactKey[] {
	return model === undefined
		? []
		: requiredArtifactKeys(document, {model, adapter});
}

function isUsable(
	target: TrackedTarget,
	required: readonly ArtifactKey[],
): boolean {
	if (
		target.unavailabilityReason !== undefined ||
		!target.report ||
		required.length === 0 ||
		required.some((key) => target.absentArtifacts.has(key))
	) {
		return false;
	}

	// An older version serves requests until the version in the document replaces it. Engines select artifacts by name.
	const resident = new Set(
		target.report.artifacts
			.filter((artifact) => artifact.state === 'resident')
			.map((artifact) => unversionedKey(artifact.key)),
	);
	return required.every((key) => resident.has(unversionedKey(key)));
}

/** Returns the artifact key without its version. */
function unversionedKey(key: ArtifactKey): string {
	return key.slice(0, key.lastIndexOf('@'));
}

const refusalMessages: Readonly<
	Record<Extract<ProblemCode, WorkRefusal['code']>, string>
> = {
	'caller-limit':
		'This key has as many requests in progress as it may have. Send the request again later.',
	overload: 'The service is overloaded. Send the request again later.',
	deadline: 'The request cannot finish in time, so it was not started.',
	'no-target': 'Nothing can take the request now. Send it again.',
};

function toAttemptIdentity({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}

function interruptedProblem(): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The answer broke off before its end. Send the request again.',
		'unknown',
		1,
	);
}
