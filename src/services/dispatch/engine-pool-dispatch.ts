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
import {type CallerLimiter} from '../../core/caller-limiter.js';
import {type QuarantineKeeper} from '../entry/quarantine-keeper.js';
import {
	GenerationSession,
	type GenerationFailedError,
} from '../generation-session.js';
import {findEndedIncarnation} from '../targets/death-detector.js';
import {
	type KnownTarget,
	type TargetDirectory,
} from '../targets/target-directory.js';
import {
	Dispatcher,
	DispatchPort,
	CandidateDirectory as CandidateDirectory,
	type Attempt,
	type Binding,
	type WorkItem,
	type WorkRefusal,
} from './dispatcher.js';
import {AbstractPoolDispatch} from './abstract-pool-dispatch.js';
import {type AttemptKey, type GenerationRun} from './generation-run.js';

/** Times after which a stream without progress is checked. */
export type ProgressTimeouts = {
	readonly firstTokenMilliseconds: number;
	readonly betweenTokensMilliseconds: number;
	readonly pingMilliseconds: number;
};

/** Several times the objectives, so that a slow target is not taken for a silent connection. */
export const defaultProgressTimeouts: ProgressTimeouts = {
	firstTokenMilliseconds: 10_000,
	betweenTokensMilliseconds: 3000,
	pingMilliseconds: 1000,
};

/** Collaborators of the dispatch of one pool. */
export type EnginePoolDispatchOptions = {
	readonly pool: PoolName;
	readonly host: HostId;
	readonly targets: TargetDirectory;
	readonly document: () => FleetDocument | undefined;
	readonly quarantine: QuarantineKeeper;
	/** Shared by all pools and plain services of the host. */
	readonly limiter: CallerLimiter;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
	/** Tells the other hosts of the target that is kept for a suspect. False when another host keeps it as well and goes first. */
	readonly reserveTarget: (target: TargetId) => Promise<boolean>;
	readonly timeouts?: ProgressTimeouts;
};

// A lost target costs the caller a whole first-token time, so more tries do not meet its deadline.
const maximumSubmissions = 3;

const priorityByUrgency = {urgent: 0, standard: 10, deferred: 20};

/** Runs the model requests of one pool: the dispatcher decides, this class talks to the engines. */
export class EnginePoolDispatch extends AbstractPoolDispatch {
	readonly dispatcher: Dispatcher;
	private readonly runs = new Map<RequestId, GenerationRun>();

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

	/** Queues a run. Its parts are read from the run. */
	submit(run: GenerationRun): void {
		const {quarantine} = this.options;
		if (run.isEnded) {
			return;
		}

		if (this.isDisposed) {
			run.fail(interrupted());
			return;
		}

		const status = quarantine.status(run.fingerprint);
		if (status === 'quarantined') {
			run.fail(this.quarantined(run));
			return;
		}

		run.submissionCount += 1;
		if (run.submissionCount - run.submissionsNotRun > maximumSubmissions) {
			run.fail(interrupted());
			return;
		}

		this.runs.set(run.submissionId, run);
		this.post({
			kind: 'submitted',
			item: this.itemOf(run, status === 'suspect'),
		});
	}

	/** Ends a run that nobody waits for any more. */
	abandon(run: GenerationRun): void {
		run.close();
		this.forget(run);
		this.post({kind: 'abandoned', request: run.submissionId});
	}

	/** Starts one attempt on the chosen target. */
	startAttempt(binding: Binding): void {
		const run = this.runs.get(binding.request);
		const target = this.options.targets.target(binding.target);
		if (!run || this.divert(run, binding)) {
			return;
		}

		if (!target?.engine) {
			this.post({
				kind: 'refused',
				...identityOf(binding),
				reason: 'not-resident',
			});
			return;
		}

		void (binding.item.suspect
			? this.attemptAlone(run, binding, target)
			: this.attempt(run, binding, target));
	}

	/** Ends one attempt whose answer is no longer needed. */
	cancelAttempt(attempt: Attempt): void {
		const run = this.runs.get(attempt.request);
		run?.cancelAttempt({
			submission: run.submissionCount,
			attempt: attempt.attempt,
		});
	}

	/** Answers a refusal of the dispatcher. */
	refuse(refusal: WorkRefusal): void {
		const run = this.runs.get(refusal.item.request);
		if (!run) {
			return;
		}

		this.forget(run);
		run.fail(
			this.mayHaveRun(run)
				? interrupted()
				: new RequestProblem(
						refusal.code,
						refusalTexts[refusal.code],
						'not-run',
						refusal.code === 'deadline'
							? undefined
							: Math.max(1, refusal.retryAfterMilliseconds / 1000),
					),
		);
	}

	/** Continues a run whose stream was lost after its first token, or fails it. */
	continueOrFail(item: WorkItem, execution: Execution): void {
		const run = this.runs.get(item.request);
		if (!run) {
			return;
		}

		this.forget(run);
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
			// Only submissions that may have run count towards the limit; a dead target costs nothing.
			run.submissionsNotRun += 1;
		}

		this.submit(run);
	}

	override dispose(): void {
		super.dispose();
		for (const run of this.runs.values()) {
			run.fail(interrupted());
		}

		this.runs.clear();
	}

	protected isIdle(): boolean {
		return this.runs.size === 0;
	}

	/** Applies what became known of a request while it waited in the queue. */
	private divert(run: GenerationRun, binding: Binding): boolean {
		const status = this.options.quarantine.status(run.fingerprint);
		if (status === 'clear' || (status === 'suspect' && binding.item.suspect)) {
			return false;
		}

		this.queueAnew(run, binding);
		return true;
	}

	private queueAnew(run: GenerationRun, binding: Binding): void {
		this.forget(run);
		this.post({kind: 'abandoned', request: binding.request});
		run.submissionsNotRun += 1;
		this.submit(run);
	}

	/**
	 * Starts a suspect once the other hosts know that its target is kept for it. Two suspects on one target would
	 * share its death, and the harmless one would be quarantined.
	 */
	private async attemptAlone(
		run: GenerationRun,
		binding: Binding,
		target: KnownTarget,
	): Promise<void> {
		const isReserved = await this.options.reserveTarget(binding.target);
		if (run.isEnded || this.runs.get(binding.request) !== run) {
			return;
		}

		if (!isReserved) {
			this.queueAnew(run, binding);
			return;
		}

		if (!this.divert(run, binding)) {
			await this.attempt(run, binding, target);
		}
	}

	private async attempt(
		run: GenerationRun,
		binding: Binding,
		target: KnownTarget,
	): Promise<void> {
		const {engine} = target;
		if (!engine) {
			return;
		}

		const name = {submission: run.submissionCount, attempt: binding.attempt};

		const signal = run.beginAttempt(name);
		const incarnation = await incarnationFor(binding.item, target);
		const session = new GenerationSession({
			engine,
			request: this.requestOf(run, name),
			...(this.options.timeouts ?? defaultProgressTimeouts),
			logger: this.options.events,
		});
		let tokens = run.deliveredTokens.length;
		for await (const progress of session.run(signal)) {
			if (progress.isErr()) {
				await this.endAttempt(run, binding, {
					target,
					incarnation,
					name,
					failure: progress.error,
				});
				return;
			}

			if (progress.value.kind === 'token') {
				if (!run.acceptToken(name, progress.value.text)) {
					break;
				}

				tokens += 1;
				this.post({kind: 'progressed', ...identityOf(binding), tokens});
				continue;
			}

			const count = progress.value.tokens.length;
			if (run.complete(name, count, progress.value.reason)) {
				this.options.quarantine.clear(run.fingerprint);
				this.forget(run);
			}

			this.post({kind: 'completed', ...identityOf(binding), tokens: count});
			return;
		}

		run.endAttempt(name);
	}

	/** Learns from a failed attempt and tells the dispatcher. */
	private async endAttempt(
		run: GenerationRun,
		binding: Binding,
		{target, incarnation, name, failure}: FailedAttempt,
	): Promise<void> {
		this.options.metrics.count('daisylever_generation_failures_total', {
			reason: failure.reason,
		});
		run.endAttempt(name);
		if (failure.reason === 'aborted') {
			return;
		}

		if (failure.reason === 'conflict') {
			// The caller holds tokens that the target contradicts; no continuation can be trusted.
			this.forget(run);
			run.fail(interrupted());
			this.post({kind: 'abandoned', request: binding.request});
			return;
		}

		if (
			failure.cause instanceof TargetRefusedError &&
			failure.execution === 'not-run'
		) {
			this.endRefused(run, binding, failure.cause);
			return;
		}

		const {id} = target.definition;
		if (failure.isTargetSuspect) {
			this.options.targets.markUnavailable(id, 'unreachable');
		}

		const wasSent =
			!(failure.cause instanceof TargetUnreachableError) ||
			failure.execution === 'unknown';
		const ended = wasSent
			? await findEndedIncarnation(target, incarnation)
			: undefined;
		if (ended === undefined || run.isEnded) {
			this.post({
				kind: 'lost',
				...identityOf(binding),
				execution: failure.execution,
			});
			return;
		}

		this.options.targets.markUnavailable(id, 'unreachable');
		// Submitted anew, because a suspect must run alone and the queued item does not say so.
		this.forget(run);
		this.post({kind: 'abandoned', request: binding.request});
		await this.options.quarantine.reportDeath({
			fingerprint: run.fingerprint,
			target: id,
			targetIncarnation: ended,
		});
		this.submit(run);
	}

	private endRefused(
		run: GenerationRun,
		binding: Binding,
		refusal: TargetRefusedError,
	): void {
		if (refusal.reason === 'leaving') {
			this.options.targets.markUnavailable(binding.target, 'leaving');
		}

		if (refusal.reason === 'not-resident') {
			// Without this the next attempts would go to the same target until its next report.
			const absent = neededArtifacts(this.options.document(), binding.item).at(
				-1,
			);
			if (absent !== undefined) {
				this.options.targets.markAbsent(binding.target, absent);
			}
		}

		if (refusal.reason !== 'invalid') {
			this.post({
				kind: 'refused',
				...identityOf(binding),
				reason: refusal.reason,
			});
			return;
		}

		this.forget(run);
		run.fail(
			this.mayHaveRun(run)
				? interrupted()
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

	private forget(run: GenerationRun): void {
		this.runs.delete(run.submissionId);
		this.disposeIfIdle();
	}

	private quarantined(run: GenerationRun): RequestProblem {
		return new RequestProblem(
			'quarantined',
			'This request made its server fail several times and is refused for a while.',
			run.hasStartedAttempt ? 'unknown' : 'not-run',
			this.options.quarantine.remainingSeconds(run.fingerprint),
		);
	}

	private itemOf(run: GenerationRun, isSuspect: boolean): WorkItem {
		const {offering, model} = run.request.offering;
		const {caller, callerClass} = run.request.known;
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
			// A generation changes nothing, so it may run again.
			idempotent: true,
			fingerprint: run.fingerprint,
			suspect: isSuspect,
		};
	}

	private requestOf(run: GenerationRun, name: AttemptKey) {
		const {offering, model} = run.request.offering;
		return {
			// An engine that saw an earlier attempt must not take this one for a repetition.
			requestId: `${run.submissionId}.${name.attempt}` as RequestId,
			model: model.id,
			adapter: offering.adapter,
			messages: [...run.request.messages],
			maximumTokens: run.request.maximumTokens,
			priority: priorityByUrgency[run.request.known.callerClass.urgency],
			continuation: [...run.deliveredTokens],
		};
	}
}

type FailedAttempt = {
	readonly target: KnownTarget;
	/** The run of the target that the attempt went to. */
	readonly incarnation: TargetIncarnation | undefined;
	readonly name: AttemptKey;
	readonly failure: GenerationFailedError;
};

/**
 * The run of the target that an attempt goes to, taken before the attempt: a target that restarts fast reports its
 * new run before the loss is looked into. A report can be older than a restart, and a suspect's second death counts
 * only under another run, so a suspect's target is asked.
 */
async function incarnationFor(
	item: WorkItem,
	target: KnownTarget,
): Promise<TargetIncarnation | undefined> {
	const reported = target.report?.incarnation;
	if (!item.suspect) {
		return reported;
	}

	const answer = await target.engine?.ping(
		defaultProgressTimeouts.pingMilliseconds,
	);
	return answer?.isOk()
		? (answer.value.incarnation as TargetIncarnation)
		: reported;
}

/** Passes the dispatcher's decisions on. */
class EnginePort extends DispatchPort {
	constructor(private readonly pool: EnginePoolDispatch) {
		super();
	}

	dispatch(binding: Binding): void {
		this.pool.startAttempt(binding);
	}

	refuse(refusal: WorkRefusal): void {
		this.pool.refuse(refusal);
	}

	fail(item: WorkItem, execution: Execution): void {
		this.pool.continueOrFail(item, execution);
	}

	demote(): void {
		// Engines have no call to change the priority of running work; the dispatcher counts it as long.
	}

	cancel(attempt: Attempt): void {
		this.pool.cancelAttempt(attempt);
	}
}

type Candidates = {
	readonly needed: readonly ArtifactKey[];
	readonly targets: readonly TargetId[];
	readonly known: ReadonlySet<TargetId>;
};

/** The targets whose newest report shows the needed artifacts resident, in any version. */
class ResidentCandidates extends CandidateDirectory {
	private readonly cache = new Map<string, Candidates>();

	constructor(private readonly options: EnginePoolDispatchOptions) {
		super();
		options.targets.changed.subscribe((target) => {
			this.forget(target);
		});
	}

	targetsFor(item: WorkItem): readonly TargetId[] {
		const name = `${item.model}|${item.adapter ?? ''}`;
		let found = this.cache.get(name);
		if (!found) {
			found = this.find(item);
			this.cache.set(name, found);
		}

		return found.targets;
	}

	/** Forgets what a change made wrong. Most reports change no list; a large pool sends thousands of them a second. */
	private forget(target: KnownTarget | undefined): void {
		if (!target) {
			this.cache.clear();
			return;
		}

		if (target.pool.name !== this.options.pool) {
			return;
		}

		for (const [name, {needed, known}] of this.cache) {
			if (known.has(target.definition.id) !== isUsable(target, needed)) {
				this.cache.delete(name);
			}
		}
	}

	private find(item: WorkItem): Candidates {
		const needed = neededArtifacts(this.options.document(), item);
		const targets = this.options.targets
			.targetsOf(this.options.pool)
			.filter((target) => isUsable(target, needed))
			.map((target) => target.definition.id);
		return {needed, targets, known: new Set(targets)};
	}
}

function neededArtifacts(
	document: FleetDocument | undefined,
	{model, adapter}: WorkItem,
): ArtifactKey[] {
	return model === undefined
		? []
		: requiredArtifactKeys(document, {model, adapter});
}

function isUsable(
	target: KnownTarget,
	needed: readonly ArtifactKey[],
): boolean {
	if (
		target.unavailability !== undefined ||
		!target.report ||
		needed.length === 0 ||
		needed.some((key) => target.absentArtifacts.has(key))
	) {
		return false;
	}

	// An older version serves until the one in the document replaces it. Engines choose by name.
	const resident = new Set(
		target.report.artifacts
			.filter((artifact) => artifact.state === 'resident')
			.map((artifact) => nameOf(artifact.key)),
	);
	return needed.every((key) => resident.has(nameOf(key)));
}

/** The artifact key without its version. */
function nameOf(key: ArtifactKey): string {
	return key.slice(0, key.lastIndexOf('@'));
}

const refusalTexts: Readonly<
	Record<Extract<ProblemCode, WorkRefusal['code']>, string>
> = {
	'caller-limit':
		'This key has as many requests in progress as it may have. Send the request again later.',
	overload: 'The service is overloaded. Send the request again later.',
	deadline: 'The request cannot finish in time, so it was not started.',
	'no-target': 'Nothing can take the request now. Send it again.',
};

function identityOf({request, attempt, target}: Attempt): Attempt {
	return {request, attempt, target};
}

function interrupted(): RequestProblem {
	return new RequestProblem(
		'interrupted',
		'The answer broke off before its end. Send the request again.',
		'unknown',
		1,
	);
}
