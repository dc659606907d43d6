import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type Fingerprint,
	type PromptPartId,
	type RequestId,
	type TargetId,
	type TargetIncarnation,
} from '../../src/contracts/ids.js';
import {
	CrashCorrelation,
	type ObservedRequest,
} from '../../src/core/crashes/crash-correlation.js';

let requestCount = 0;

/** A request that is like no other one, with the given prompt parts before its own. */
function requestWith(...parts: readonly string[]): ObservedRequest {
	requestCount++;
	const name = `r${requestCount}`;
	return {
		id: name as RequestId,
		fingerprint: name as Fingerprint,
		promptParts: [...parts, `own-${name}`] as PromptPartId[],
	};
}

function repeatable(fingerprint: string): ObservedRequest {
	return {
		id: 'r' as RequestId,
		fingerprint: fingerprint as Fingerprint,
		promptParts: [],
	};
}

const poison = repeatable('poison');
const bystander = repeatable('bystander');

function isQuarantined(
	correlation: CrashCorrelation,
	request: ObservedRequest,
): boolean {
	return correlation.findQuarantined(request) !== undefined;
}

function crash(
	correlation: CrashCorrelation,
	name: string,
	requests: readonly ObservedRequest[],
): void {
	for (const request of requests) {
		correlation.recordLostRequest(
			name as TargetId,
			`${name}@1` as TargetIncarnation,
			request,
		);
	}

	correlation.recordTargetDeath(name as TargetId);
}

/** Crashes targets one after the other under requests with the given parts. */
function crashSeveral(
	correlation: CrashCorrelation,
	clock: ManualClock,
	names: readonly string[],
	parts: readonly string[],
): void {
	for (const name of names) {
		clock.advance(200);
		crash(correlation, name, [requestWith(...parts)]);
	}
}

/** Both hosts learn what the other one knows. */
function exchange(left: CrashCorrelation, right: CrashCorrelation): void {
	right.merge(left.changesSince(0).reports);
	left.merge(right.sharedChangesSince(0).reports);
}

// Guards against a request that crashes one target after another.
test('a request in flight at three target deaths is quarantined, and an unrelated one is not', () => {
	const clock = new ManualClock();
	const correlation = new CrashCorrelation({clock});
	crash(correlation, 'a', [poison, bystander]);
	clock.advance(100);
	crash(correlation, 'b', [poison]);
	clock.advance(100);
	assert.equal(isQuarantined(correlation, poison), false);
	crash(correlation, 'c', [poison]);
	assert.equal(isQuarantined(correlation, poison), true);
	assert.equal(isQuarantined(correlation, bystander), false);
});

// Guards against quarantining a request whose connections broke without a crash.
test('a lost connection long before a death does not count towards quarantine', () => {
	const clock = new ManualClock();
	const correlation = new CrashCorrelation({clock});
	for (const name of ['a', 'b', 'c', 'd']) {
		clock.advance(100);
		correlation.recordLostRequest(
			name as TargetId,
			`${name}@1` as TargetIncarnation,
			poison,
		);
	}

	clock.advance(10_000);
	for (const name of ['a', 'b', 'c', 'd']) {
		correlation.recordTargetDeath(name as TargetId);
	}

	assert.equal(isQuarantined(correlation, poison), false);
});

// Guards against a request that crashes a target of each host without reaching the limit on any of them.
test('deaths are counted across hosts, and a quarantine applies on every host', () => {
	const clock = new ManualClock();
	const owner = new CrashCorrelation({clock});
	const hosts = ['a', 'b', 'c'].map((name) => {
		clock.advance(100);
		const host = new CrashCorrelation({clock});
		crash(host, name, [poison]);
		return host;
	});
	for (const host of hosts) {
		owner.merge(host.changesSince(0).reports);
		assert.deepEqual(host.changesSince(host.revision).reports, []);
	}

	assert.equal(isQuarantined(owner, poison), true);
	assert.equal(isQuarantined(owner, bystander), false);
	assert.equal(isQuarantined(hosts[0]!, poison), false);
	hosts[0]!.merge(owner.sharedChangesSince(0).reports);
	assert.equal(isQuarantined(hosts[0]!, poison), true);
});

// Guards against a quarantine that knows whole requests only: requests with a part that crashes targets are never alike.
test('a prompt part that different requests had in flight at three deaths is quarantined wherever it stands', () => {
	for (const parts of [['bad'], ['bad', 'topic'], ['system', 'bad']]) {
		const clock = new ManualClock();
		const correlation = new CrashCorrelation({clock});
		correlation.recordAnswer(requestWith('system', 'topic'));
		crashSeveral(correlation, clock, ['a', 'b', 'c'], parts);
		assert.equal(isQuarantined(correlation, requestWith('bad')), true);
		assert.equal(isQuarantined(correlation, requestWith('x', 'bad')), true);
		assert.equal(
			isQuarantined(correlation, requestWith('system', 'topic')),
			false,
		);
	}
});

// Guards against blame for the last part, which belongs to one request or session and is never harmful to others.
test('the last part of a prompt is not blamed', () => {
	const clock = new ManualClock();
	const correlation = new CrashCorrelation({clock});
	for (const name of ['a', 'b', 'c', 'd']) {
		clock.advance(100);
		crash(correlation, name, [
			{...requestWith(), promptParts: ['session' as PromptPartId]},
		]);
	}

	assert.equal(isQuarantined(correlation, requestWith('session')), false);
});

// Guards against refusing everything that shares its first part with requests that crash targets.
test('a part that another host has seen answered is not quarantined with the part that crashes targets', () => {
	const clock = new ManualClock();
	const owner = new CrashCorrelation({clock});
	const sound = new CrashCorrelation({clock});
	sound.recordAnswer(requestWith('system'));
	for (const name of ['a', 'b', 'c', 'd', 'e']) {
		clock.advance(200);
		const host = new CrashCorrelation({clock});
		crash(host, name, [requestWith('system', 'bad')]);
		exchange(host, owner);
		exchange(sound, owner);
	}

	exchange(sound, owner);
	assert.equal(isQuarantined(owner, requestWith('system')), false);
	assert.equal(isQuarantined(owner, requestWith('bad')), true);
	assert.equal(isQuarantined(sound, requestWith('system', 'bad')), true);
});

// Guards against quarantine of a part of a busy model when several targets end for a reason of their own.
test('targets that end at the same moment count as one death, and answered parts are not blamed', () => {
	const clock = new ManualClock();
	const correlation = new CrashCorrelation({clock});
	for (const name of ['a', 'b', 'c', 'd']) {
		crash(correlation, name, [requestWith('new')]);
		clock.advance(5);
	}

	assert.equal(isQuarantined(correlation, requestWith('new')), false);
	correlation.recordAnswer(requestWith('busy'));
	crashSeveral(correlation, clock, ['e', 'f', 'g', 'h'], ['busy']);
	assert.equal(isQuarantined(correlation, requestWith('busy')), false);
});

// Guards against a part that stays shut out although it is harmless, and against trials that crash one target after another.
test('a quarantined part is tried again seldom, and a complete answer clears it on all hosts', () => {
	const clock = new ManualClock();
	const owner = new CrashCorrelation({clock});
	const host = new CrashCorrelation({clock});
	crashSeveral(owner, clock, ['a', 'b', 'c'], ['part']);
	exchange(host, owner);
	assert.equal(isQuarantined(host, requestWith('part')), true);
	let trials = 0;
	for (let second = 0; second < 600; second++) {
		clock.advance(1000);
		const request = requestWith('part');
		if (isQuarantined(owner, request) && owner.tryTrial(request)) {
			trials++;
			crash(owner, `trial-${trials}`, [request]);
		}
	}

	assert.ok(trials >= 1 && trials <= 3, `${trials} trials`);
	exchange(host, owner);
	owner.recordAnswer(requestWith('part'));
	assert.equal(isQuarantined(owner, requestWith('part')), false);
	exchange(host, owner);
	assert.equal(isQuarantined(host, requestWith('part')), false);
});

// Guards against a quarantine that is forgotten while the part is not asked for, or when the hosts that know it end.
test('a quarantine outlives a pause and is passed on to a host that starts empty', () => {
	const clock = new ManualClock();
	const first = new CrashCorrelation({clock});
	crashSeveral(first, clock, ['a', 'b', 'c'], ['bad']);
	clock.advance(90_000);
	assert.equal(isQuarantined(first, requestWith('bad')), true);
	const next = new CrashCorrelation({clock});
	next.merge(first.quarantined());
	assert.equal(isQuarantined(next, requestWith('bad')), true);
});

// Guards against suspicions that hosts send each other in a circle, each time as news.
test('what a host has received is no news to the host that sent it', () => {
	const clock = new ManualClock();
	const left = new CrashCorrelation({clock});
	const right = new CrashCorrelation({clock});
	left.recordAnswer(requestWith('system'));
	crashSeveral(left, clock, ['a', 'b', 'c'], ['system', 'bad']);
	exchange(left, right);
	const {revision} = left;
	for (let round = 0; round < 20; round++) {
		const {reports} = right.changesSince(0);
		clock.advance(300);
		left.merge(reports);
		right.merge(left.changesSince(0).reports);
	}

	assert.equal(left.revision, revision);
});

// Guards against memory that grows with the parts that are asked for, and against the loss of a quarantine to a flood.
test('the number of tracked parts is bounded, and a quarantine survives many deaths under other parts', () => {
	const clock = new ManualClock();
	const correlation = new CrashCorrelation({clock});
	crashSeveral(correlation, clock, ['a', 'b', 'c'], ['bad']);
	for (let index = 0; index < 30_000; index++) {
		correlation.recordAnswer(requestWith(`seen-once-${index}`));
	}

	for (let index = 0; index < 100; index++) {
		clock.advance(50);
		crash(
			correlation,
			`flood-${index}`,
			Array.from({length: 64}, (_, each) =>
				requestWith(`rare-${index}-${each}`),
			),
		);
	}

	assert.equal(isQuarantined(correlation, requestWith('bad')), true);
	let count = 0;
	let revision = 0;
	for (;;) {
		const changes = correlation.changesSince(revision);
		if (changes.reports.length === 0) {
			break;
		}

		count += changes.reports.length;
		revision = changes.revision;
	}

	assert.ok(count <= 4000, `${count} fingerprints`);
});

/** A fleet whose hosts report to one of them, with targets that end under requests with a harmful part. */
class SimulatedFleet {
	readonly clock = new ManualClock();
	readonly random = new SeededRandomSource(23);
	readonly hosts: CrashCorrelation[];
	readonly crashTimes: number[] = [];
	readonly harmfulSends: number[] = [];
	refusedSound = 0;
	private nextTarget = 0;

	constructor(
		size: number,
		/** Time between two exchanges of a host with the owner. */
		private readonly exchangeMilliseconds: number,
	) {
		this.hosts = Array.from(
			{length: size},
			() => new CrashCorrelation({clock: this.clock}),
		);
	}

	/** Sends sound and harmful requests at random hosts. Targets are back after three seconds. */
	run(
		milliseconds: number,
		{
			harmful,
			isExchanging = true,
		}: {readonly harmful: readonly string[]; readonly isExchanging?: boolean},
	): void {
		const stepMilliseconds = 20;
		for (let time = 0; time < milliseconds; time += stepMilliseconds) {
			this.clock.advance(stepMilliseconds);
			this.sendSound();
			for (const part of harmful) {
				this.sendHarmful(part);
			}

			if (isExchanging) {
				this.exchangeSome(stepMilliseconds);
			}
		}
	}

	private randomHost(): CrashCorrelation {
		return this.hosts[this.random.integer(this.hosts.length)]!;
	}

	private sendSound(): void {
		const host = this.randomHost();
		const request = requestWith('system', `topic-${this.random.integer(5)}`);
		if (host.findQuarantined(request)) {
			this.refusedSound++;
		} else {
			host.recordAnswer(request);
		}
	}

	private sendHarmful(part: string): void {
		const host = this.randomHost();
		const request = requestWith('system', part);
		if (host.findQuarantined(request)) {
			return;
		}

		this.harmfulSends.push(this.clock.monotonic());
		const isSomeTargetUp =
			this.crashTimes.filter((at) => this.clock.monotonic() - at < 3000)
				.length < 6;
		if (isSomeTargetUp) {
			this.nextTarget++;
			crash(host, `target-${this.nextTarget}`, [
				request,
				requestWith('system', 'topic-0'),
			]);
			// A death is reported at once, not with the next regular report.
			exchange(host, this.hosts[0]!);
			this.crashTimes.push(this.clock.monotonic());
		}
	}

	/** Each host exchanges with the owner, the first host, once in the interval. */
	private exchangeSome(stepMilliseconds: number): void {
		const [owner, ...others] = this.hosts;
		const now = this.clock.monotonic();
		for (const [index, host] of others.entries()) {
			const phase = (now + index * 37) % this.exchangeMilliseconds;
			if (phase < stepMilliseconds) {
				exchange(host, owner!);
			}
		}
	}
}

/** Requests with a harmful part that were sent later than three seconds after the fifth crash. */
function lateSends({crashTimes, harmfulSends}: SimulatedFleet): number {
	const bound = (crashTimes[4] ?? Number.POSITIVE_INFINITY) + 3000;
	return harmfulSends.filter((at) => at > bound).length;
}

// Guards against evidence that stays on the hosts, each of which sees one or two of the crashes.
for (const {size, exchangeMilliseconds} of [
	{size: 8, exchangeMilliseconds: 250},
	{size: 195, exchangeMilliseconds: 1500},
]) {
	test(`a fleet of ${size} hosts stops sending requests with a harmful part, pauses and second parts included`, () => {
		const fleet = new SimulatedFleet(size, exchangeMilliseconds);
		fleet.run(5000, {harmful: []});
		fleet.run(10_000, {harmful: ['bad']});
		assert.ok(lateSends(fleet) <= 3, `${lateSends(fleet)} late sends`);
		const sends = fleet.harmfulSends.length;
		fleet.run(60_000, {harmful: []});
		fleet.run(5000, {harmful: ['bad']});
		assert.equal(fleet.harmfulSends.length, sends);
		fleet.run(10_000, {harmful: ['bad', 'worse']});
		const later = fleet.harmfulSends.filter(
			(at) => at > fleet.clock.monotonic() - 5000,
		);
		assert.equal(later.length, 0);
		assert.ok(fleet.refusedSound <= 10, `${fleet.refusedSound} refused`);
	});
}
