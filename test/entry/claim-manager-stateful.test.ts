import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import fc from 'fast-check';
import {Clock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type HostId,
	type IdempotencyKey,
	type IncarnationId,
	type RequestId,
} from '../../src/contracts/ids.js';
import {
	ClaimManager,
	IncarnationDirectory,
	type ClaimDecision,
	type ClaimRequest,
} from '../../src/services/entry/claim-manager.js';
import {LogClaimAppender} from '../../src/services/entry/log-claim-appender.js';
import {RecordAppender} from '../../src/services/record-appender.js';
import {MemoryLogService} from '../../src/stand-ins/memory-log-service.js';
import {PausableLogService, waitUntil} from '../agreement/harness.js';

const seed = Number(process.env.DAISYLEVER_SEED ?? 20_261_204);
const runs = Number(process.env.DAISYLEVER_RUNS ?? 120);
const hostCount = 3;
const keyCount = 4;
const caller = 'workshop-7' as CallerId;
const windowMilliseconds = 10_000_000;

/** Clock whose wall time a test can move forward. Its monotonic time does not jump. */
class JumpingClock extends Clock {
	private offset = 0;

	monotonic(): number {
		return performance.now();
	}

	wall(): number {
		return 1_000_000_000 + Math.floor(performance.now()) + this.offset;
	}

	jump(milliseconds: number): void {
		this.offset += milliseconds;
	}
}

/** How a granted call ends. */
type Fate =
	| 'answered'
	| 'answer-lost'
	| 'refused'
	| 'host-dies-before'
	| 'host-dies-after';

type Step =
	| {kind: 'call'; host: number; key: number; body: number; fate: Fate}
	| {
			kind: 'pause' | 'resume' | 'die' | 'carry' | 'carry-and-trim';
			host: number;
	  }
	| {kind: 'outage' | 'recover' | 'settle'}
	| {kind: 'lose'; count: number}
	| {kind: 'delay'; milliseconds: number}
	| {kind: 'jump'; share: number};

const host = fc.nat({max: hostCount - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 12,
		arbitrary: fc.record({
			kind: fc.constant('call'),
			host,
			key: fc.nat({max: keyCount - 1}),
			body: fc.constantFrom(0, 0, 0, 1),
			fate: fc.constantFrom<Fate>(
				'answered',
				'answered',
				'answer-lost',
				'refused',
				'refused',
				'host-dies-before',
				'host-dies-after',
			),
		}),
	},
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constantFrom(
				'pause',
				'resume',
				'resume',
				'die',
				'carry',
				'carry-and-trim',
				'carry-and-trim',
			),
			host,
		}),
	},
	{
		weight: 5,
		arbitrary: fc.record({
			kind: fc.constantFrom('outage', 'recover', 'recover', 'settle', 'settle'),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('lose'),
			count: fc.integer({min: 1, max: 4}),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			kind: fc.constant('delay'),
			milliseconds: fc.integer({min: 0, max: 4}),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			kind: fc.constant('jump'),
			share: fc.constantFrom(0.3, 0.6, 1.1),
		}),
	},
);

type Dispatch = {
	readonly request: ClaimRequest;
	readonly claimedAt: number;
	readonly status: number;
};

/** One incarnation of a host with its claim manager. */
class ClaimHost {
	readonly log: PausableLogService;
	readonly manager: ClaimManager;
	readonly incarnation: IncarnationId;
	isDead = false;
	/** True while an append of claims carried forward may still be in flight. */
	mayHaveCarryInFlight = false;
	private readonly appender: RecordAppender;

	constructor(fleet: Fleet, index: number, run: number) {
		const common = {
			clock: fleet.clock,
			random: new SeededRandomSource(run),
			events: new NullEventLogger(),
			metrics: new NullMetricRegistry(),
		};
		this.log = new PausableLogService(fleet.log);
		this.incarnation = `host-${index}-run-${run}` as IncarnationId;
		this.appender = new RecordAppender({
			...common,
			log: this.log,
			stream: 'claims',
			retry: {initialMilliseconds: 1, maximumMilliseconds: 4},
			lingerMilliseconds: 0,
			attemptTimeoutMilliseconds: 15,
			appendTimeoutMilliseconds: 40,
		});
		this.manager = new ClaimManager({
			...common,
			host: `host-${index}` as HostId,
			incarnation: this.incarnation,
			log: this.log,
			appender: new LogClaimAppender(this.appender),
			incarnations: fleet,
			idempotencyWindowMilliseconds: () => windowMilliseconds,
			claimTimeoutMilliseconds: 60,
			settlementTimeoutMilliseconds: 10,
		});
		this.manager.start();
	}

	/** Ends the incarnation. Appends that it sent and the log has not accepted may still arrive. */
	die(): void {
		this.isDead = true;
		this.log.pause();
		this.manager.dispose();
		void this.appender.dispose();
	}

	async dispose(): Promise<void> {
		this.manager.dispose();
		this.log.resume();
		await this.appender.dispose();
	}
}

/** Several hosts that share one log. Tracks the dispatched calls and the responses to callers. */
class Fleet extends IncarnationDirectory {
	readonly clock = new JumpingClock();
	readonly log = new MemoryLogService();
	readonly dispatches: Dispatch[] = [];
	/** Requests whose callers were told that they were not executed. */
	readonly notRun: RequestId[] = [];
	readonly settled: Array<{request: ClaimRequest; status: number}> = [];
	/** Calls whose outcome the log has confirmed. */
	readonly recorded: Dispatch[] = [];
	private hosts: ClaimHost[];
	private readonly dead: ClaimHost[] = [];
	private readonly calls: Array<Promise<void>> = [];
	private started = 0;
	private requests = 0;

	constructor() {
		super();
		this.hosts = Array.from({length: hostCount}, (_, index) =>
			this.startHost(index),
		);
	}

	// A paused host appears to be gone, although it may continue later.
	isLive(incarnation: IncarnationId): boolean {
		return this.hosts.some(
			(item) => item.incarnation === incarnation && !item.log.isPaused,
		);
	}

	async run(steps: readonly Step[]): Promise<void> {
		try {
			for (const item of steps) {
				await this.perform(item);
				await delay(0);
			}

			await this.finish();
		} finally {
			await Promise.all(this.hosts.map(async (item) => item.dispose()));
			for (const item of this.dead) {
				item.log.resume();
			}
		}
	}

	private startHost(index: number): ClaimHost {
		this.started++;
		return new ClaimHost(this, index, this.started);
	}

	private replace(item: ClaimHost): void {
		if (!item.isDead) {
			item.die();
			this.dead.push(item);
			this.hosts = this.hosts.map((other, index) =>
				other === item ? this.startHost(index) : other,
			);
		}
	}

	private async perform(item: Step): Promise<void> {
		switch (item.kind) {
			case 'call': {
				this.calls.push(this.call(item));
				return;
			}

			case 'pause': {
				this.hosts[item.host]!.log.pause();
				return;
			}

			case 'resume': {
				this.hosts[item.host]!.log.resume();
				return;
			}

			case 'die': {
				this.replace(this.hosts[item.host]!);
				return;
			}

			case 'carry':
			case 'carry-and-trim': {
				await this.carry(
					this.hosts[item.host]!,
					item.kind === 'carry-and-trim',
				);
				return;
			}

			case 'outage':
			case 'recover': {
				this.log.setOutage(item.kind === 'outage');
				return;
			}

			case 'settle': {
				await delay(8);
				return;
			}

			case 'lose': {
				this.log.loseAppendResponses(item.count);
				return;
			}

			case 'delay': {
				this.log.setDelay(item.milliseconds);
				return;
			}

			case 'jump': {
				this.clock.jump(item.share * windowMilliseconds);
			}
		}
	}

	/** Carries forward all claims that a host has read, and then optionally truncates their records as retention would. */
	private async carry(item: ClaimHost, isTrimmed: boolean): Promise<void> {
		const below = item.manager.offsetAt(Number.POSITIVE_INFINITY);
		item.mayHaveCarryInFlight = true;
		const {isComplete} = await item.manager.carryForward(below);
		item.mayHaveCarryInFlight = !isComplete;
		// The operations page gives no guarantee if an append of carried claims is delayed by half of the retention time, so
		// nothing is truncated while one may be in flight.
		const isBounded = [...this.hosts, ...this.dead].every(
			(other) => !other.mayHaveCarryInFlight,
		);
		if (!isComplete || !isTrimmed || !isBounded) {
			return;
		}

		const bounds = await this.log.readBounds('claims');
		if (bounds.isOk()) {
			this.log.setRetention(bounds.value.next - below);
			this.log.setRetention(Number.POSITIVE_INFINITY);
		}
	}

	private newRequest(key: number, body: number): ClaimRequest {
		this.requests++;
		return {
			caller,
			key: `booking-${key}` as IdempotencyKey,
			bodyDigest: `body-${body}`,
			requestId: `request-${this.requests}` as RequestId,
		};
	}

	private async call(item: Step & {kind: 'call'}): Promise<void> {
		const entry = this.hosts[item.host]!;
		const request = this.newRequest(item.key, item.body);
		const claimedAt = this.clock.wall();
		const decision = await entry.manager.claim(request);
		if (entry.isDead) {
			return;
		}

		if (decision.isErr()) {
			this.notRun.push(request.requestId);
			return;
		}

		if (decision.value.kind === 'granted') {
			await this.execute(entry, {request, claimedAt, fate: item.fate});
			return;
		}

		this.recordDecision(request, decision.value);
	}

	private recordDecision(
		request: ClaimRequest,
		decision: Exclude<ClaimDecision, {kind: 'granted'}>,
	): void {
		if (decision.kind === 'settled') {
			this.settled.push({request, status: decision.outcome.status});
		}

		if (decision.kind === 'conflict') {
			this.notRun.push(request.requestId);
		}
	}

	private async execute(
		entry: ClaimHost,
		granted: {request: ClaimRequest; claimedAt: number; fate: Fate},
	): Promise<void> {
		const {request, claimedAt, fate} = granted;
		if (fate === 'host-dies-before') {
			this.replace(entry);
			return;
		}

		if (fate === 'refused') {
			await entry.manager.release(request);
			if (!entry.isDead) {
				this.notRun.push(request.requestId);
			}

			return;
		}

		const dispatch = {
			request,
			claimedAt,
			status: 200 + this.dispatches.length,
		};
		this.dispatches.push(dispatch);
		if (fate === 'host-dies-after') {
			this.replace(entry);
			return;
		}

		await delay(1);
		if (entry.isDead) {
			return;
		}

		const isAnswered = fate === 'answered';
		await entry.manager.settle(
			request,
			isAnswered ? {status: dispatch.status} : null,
		);
		if (isAnswered && !entry.isDead) {
			this.recorded.push(dispatch);
		}
	}

	private async finish(): Promise<void> {
		this.log.setOutage(false);
		this.log.setDelay(0);
		this.log.loseAppendResponses(0);
		for (const item of this.hosts) {
			item.log.resume();
		}

		await Promise.all(this.calls);
		// Appends that the dead hosts had sent arrive now.
		for (const item of this.dead) {
			item.log.resume();
		}

		await waitUntil(
			() => this.hosts.every((item) => item.manager.isReady),
			'every host to begin reading the claims',
		);
		await this.checkRecorded();
		await this.checkProgress();
		this.checkDispatches();
	}

	private checkDispatches(): void {
		const ran = new Set(this.dispatches.map((item) => item.request.requestId));
		for (const requestId of this.notRun) {
			assert.ok(
				!ran.has(requestId),
				`${requestId} was executed although its caller was told "not run"`,
			);
		}

		for (const [index, first] of this.dispatches.entries()) {
			for (const second of this.dispatches.slice(index + 1)) {
				assert.ok(
					first.request.key !== second.request.key ||
						Math.abs(second.claimedAt - first.claimedAt) >= windowMilliseconds,
					`${first.request.key} was executed as ${first.request.requestId} and ${second.request.requestId} in one window`,
				);
			}
		}

		for (const {request, status} of this.settled) {
			const source = this.dispatches.find((item) => item.status === status);
			assert.equal(source?.request.key, request.key);
			assert.equal(source?.request.bodyDigest, request.bodyDigest);
		}
	}

	/** Checks that every host responds to a repeated call within the window with the recorded outcome. */
	private async checkRecorded(): Promise<void> {
		for (const {request, claimedAt, status} of this.recorded) {
			if (this.clock.wall() - claimedAt >= windowMilliseconds) {
				continue;
			}

			for (const item of this.hosts) {
				const again = {...request, requestId: this.newRequest(0, 0).requestId};
				// A host that fell behind the retention reads the log again and refuses calls until it has caught up.
				await waitForDecision(item.manager, again, (decision) => {
					assert.notEqual(
						decision.kind,
						'granted',
						`${request.key} was granted again after its outcome was recorded`,
					);
					if (decision.kind !== 'settled') {
						return false;
					}

					assert.equal(decision.outcome.status, status);
					return true;
				});
			}
		}
	}

	/** Checks that every host can grant a claim once the faults have ended. */
	private async checkProgress(): Promise<void> {
		for (const [index, item] of this.hosts.entries()) {
			const fresh = this.newRequest(100 + index, 0);
			let granted: ClaimRequest | undefined;
			for (let attempt = 0; attempt < 100 && !granted; attempt += 1) {
				const again = {...fresh, requestId: this.newRequest(0, 0).requestId};
				const decided = await item.manager.claim(again);
				granted =
					decided.isOk() && decided.value.kind === 'granted'
						? again
						: undefined;
			}

			assert.ok(granted, `host ${index} granted no claim in 100 attempts`);
		}
	}
}

async function waitForDecision(
	manager: ClaimManager,
	request: ClaimRequest,
	isExpected: (decision: ClaimDecision) => boolean,
): Promise<void> {
	const end = performance.now() + 5000;
	for (;;) {
		const decided = await manager.claim(request);
		if (decided.isOk() && isExpected(decided.value)) {
			return;
		}

		const seen = decided.isOk() ? decided.value.kind : decided.error.message;
		assert.ok(
			performance.now() < end,
			`${request.key} did not reach the expected decision within 5 s; last: ${seen}`,
		);
		await delay(2);
	}
}

// Runs random sequences of lost append responses, delays, outages, pauses, truncation, host restarts and calls with
// different bodies. A key must not run twice in one window, a call reported as "not run" must not be executed, and a
// recorded outcome must not be lost.
test(
	`no sequence of faults lets a key run twice or loses its recorded outcome (seed ${seed})`,
	{timeout: 110_000},
	async (context) => {
		const totals = {dispatches: 0, notRun: 0, settled: 0, recorded: 0};
		await fc.assert(
			fc.asyncProperty(
				fc.array(step, {minLength: 5, maxLength: 40}),
				async (steps) => {
					const fleet = new Fleet();
					await fleet.run(steps);
					totals.dispatches += fleet.dispatches.length;
					totals.notRun += fleet.notRun.length;
					totals.settled += fleet.settled.length;
					totals.recorded += fleet.recorded.length;
				},
			),
			{seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true},
		);
		context.diagnostic(JSON.stringify(totals));
		// Checks that the sequences exercised dispatches, refusals and recorded outcomes.
		assert.ok(totals.dispatches > runs / 2);
		assert.ok(totals.notRun > 0 && totals.settled > 0 && totals.recorded > 0);
	},
);
