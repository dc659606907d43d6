import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ok, ResultAsync, type Result} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type CallerId,
	type Fingerprint,
	type HostId,
	type ModelId,
	type OfferingName,
	type RequestId,
	type TargetId,
} from '../../src/contracts/ids.js';
import {type ServiceResponse} from '../../src/contracts/plain-service.js';
import {type RequestProblem} from '../../src/contracts/request-problem.js';
import {CallerLimiter} from '../../src/core/admission/caller-limiter.js';
import {
	DispatchPort,
	CandidateDirectory,
	type Binding,
	type WorkRefusal,
} from '../../src/services/dispatch/dispatch-contracts.js';
import {Dispatcher} from '../../src/services/dispatch/dispatcher.js';
import {LimitedServiceGateway} from '../../src/services/entry/limited-service-gateway.js';
import {
	ServiceGateway,
	type ServiceCall,
} from '../../src/services/entry/service-gateway.js';

const hostCount = 3;
const poolCount = 2;
const caller = 'caller' as CallerId;
const target = 'target' as TargetId;

type Outcome = 'admitted' | 'refused';

/** Ends an admitted request. */
type EndRequest = () => Promise<void>;

class SinglePool extends DispatchPort {
	readonly dispatcher: Dispatcher;
	private outcome: Outcome | undefined;
	private binding: Binding | undefined;
	private submitted = 0;

	constructor(clock: ManualClock, limiter: CallerLimiter) {
		super();
		this.dispatcher = new Dispatcher({
			clock,
			callerLimiter: limiter,
			random: new SeededRandomSource(1),
			host: 'host' as HostId,
			port: this,
			directory: new SingleTargetDirectory(),
			logger: new NullEventLogger(),
			hedging: false,
		});
		this.dispatcher.handle({kind: 'target-set', target, slots: 1000});
	}

	submit(): EndRequest | undefined {
		this.outcome = undefined;
		this.submitted++;
		this.dispatcher.handle({
			kind: 'submitted',
			item: {
				request: `r${this.submitted}` as RequestId,
				caller,
				urgency: 'standard',
				offering: 'offering' as OfferingName,
				model: 'model' as ModelId,
				promptCharacters: 10,
				maximumTokens: 10,
				prefixes: [],
				remainingMilliseconds: 60_000,
				idempotent: true,
				fingerprint: `f${this.submitted}` as Fingerprint,
				suspect: false,
			},
		});
		assert.ok(this.outcome);
		if (this.outcome === 'refused') {
			return undefined;
		}

		const {request, attempt} = this.binding!;
		return async () => {
			this.dispatcher.handle({
				kind: 'completed',
				request,
				attempt,
				target,
				tokens: 1,
			});
		};
	}

	dispatch(binding: Binding): void {
		this.binding = binding;
		this.outcome = 'admitted';
	}

	refuse({code}: WorkRefusal): void {
		assert.equal(code, 'caller-limit');
		this.outcome = 'refused';
	}

	fail(): void {
		assert.fail('no attempt was lost');
	}

	demote(): void {
		// The test sends no long work.
	}

	cancel(): void {
		// The test cancels nothing.
	}
}

class SingleTargetDirectory extends CandidateDirectory {
	targetsFor(): readonly TargetId[] {
		return [target];
	}
}

/** Service gateway whose calls stay pending until the test ends them. */
class PendingService extends ServiceGateway {
	readonly ends: Array<() => void> = [];

	call(): ResultAsync<ServiceResponse, RequestProblem> {
		return new ResultAsync(
			new Promise<Result<ServiceResponse, RequestProblem>>((resolve) => {
				this.ends.push(() => {
					resolve(ok({status: 200, body: new Uint8Array()} as ServiceResponse));
				});
			}),
		);
	}
}

class TestEntryHost {
	readonly limiter: CallerLimiter;
	private readonly pools: SinglePool[];
	private readonly service = new PendingService();
	private readonly services: LimitedServiceGateway;

	constructor(clock: ManualClock, mode: 'monitor' | 'enforced', limit: number) {
		this.limiter = new CallerLimiter({clock});
		this.limiter.configure(
			{mode, maximumConcurrentPerCaller: 1000},
			new Map([[caller, limit]]),
		);
		this.pools = Array.from(
			{length: poolCount},
			() => new SinglePool(clock, this.limiter),
		);
		this.services = new LimitedServiceGateway(
			this.service,
			this.limiter,
			new NullEventLogger(),
		);
	}

	/** Sends a request to the pool with this index, or to the plain service when the index is past the last pool. */
	async send(destination: number): Promise<EndRequest | undefined> {
		const pool = this.pools[destination];
		if (pool) {
			return pool.submit();
		}

		const before = this.service.ends.length;
		const response = this.services.call(
			{authenticated: {caller: {id: caller}}} as unknown as ServiceCall,
			new AbortController().signal,
		);
		const end = this.service.ends[before];
		if (!end) {
			const result = await response;
			assert.equal(result._unsafeUnwrapErr().code, 'caller-limit');
			assert.equal(result._unsafeUnwrapErr().execution, 'not-run');
			return undefined;
		}

		return async () => {
			end();
			await response;
		};
	}

	dispose(): void {
		for (const {dispatcher} of this.pools) {
			dispatcher.dispose();
		}
	}
}

function exchangeHeartbeats(hosts: readonly TestEntryHost[]): void {
	for (const [name, {limiter}] of hosts.entries()) {
		const counts = new Map(limiter.localCounts());
		for (const other of hosts) {
			if (other.limiter !== limiter) {
				other.limiter.applyPeerCounts(`h${name}` as HostId, counts);
			}
		}
	}
}

const step = fc.oneof(
	{
		weight: 5,
		arbitrary: fc.record({
			kind: fc.constant('send' as const),
			host: fc.nat(hostCount - 1),
			destination: fc.nat(poolCount),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({kind: fc.constant('end' as const), index: fc.nat()}),
	},
	{
		weight: 1,
		arbitrary: fc.record({kind: fc.constant('heartbeat' as const)}),
	},
);

for (const mode of ['enforced', 'monitor'] as const) {
	// Guards against a limit per pool or per host, uncounted service calls, counts that are not released, and refusals
	// in mode monitor.
	test(`the caller limit in mode ${mode} applies across hosts, pools and services`, async () => {
		await fc.assert(
			fc.asyncProperty(
				fc.array(step, {maxLength: 120}),
				fc.integer({min: 1, max: 8}),
				async (steps, limit) => {
					const clock = new ManualClock();
					const hosts = Array.from(
						{length: hostCount},
						() => new TestEntryHost(clock, mode, limit),
					);
					const running: EndRequest[] = [];
					let sinceHeartbeat = 0;
					for (const each of steps) {
						if (each.kind === 'heartbeat') {
							clock.advance(1000);
							sinceHeartbeat = 0;
							exchangeHeartbeats(hosts);
						} else if (each.kind === 'end') {
							const [end] = running.splice(
								each.index % (running.length || 1),
								1,
							);
							await end?.();
						} else {
							const admitted = await hosts[each.host]!.send(each.destination);
							if (!admitted) {
								assert.equal(mode, 'enforced');
								const known = hosts[each.host]!.limiter.inFlight(caller);
								assert.ok(known >= limit);
								continue;
							}

							running.push(admitted);
							if (mode === 'enforced') {
								// Requests that other hosts admitted since the last heartbeat are not counted yet.
								assert.ok(running.length <= limit + sinceHeartbeat);
								const own = hosts[each.host]!.limiter.localCounts();
								assert.ok(own.get(caller)! <= limit);
							}

							sinceHeartbeat++;
						}

						const counted = hosts.map(
							({limiter}) => limiter.localCounts().get(caller) ?? 0,
						);
						assert.equal(
							counted.reduce((sum, count) => sum + count, 0),
							running.length,
						);
					}

					// Half of the requests end; the others are still open when their pools are disposed.
					for (const end of running.splice(0, running.length / 2)) {
						await end();
					}

					for (const host of hosts) {
						host.dispose();
					}

					await Promise.all(running.map(async (end) => end()));
					for (const {limiter} of hosts) {
						assert.equal(limiter.localCounts().size, 0);
					}
				},
			),
			{seed: 25, numRuns: 300},
		);
	});
}
