import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import {okAsync, ResultAsync, errAsync} from 'neverthrow';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullEventLogger} from '../../src/base/common/event-logger.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	SharedState,
	SharedStoreError,
	type StoreChanges,
} from '../../src/contracts/shared-store.js';
import {maximumListAge} from '../../src/core/membership/list-age.js';
import {receivedAge} from '../../src/core/membership/received-age.js';
import {revocationLimits} from '../../src/core/limits/revocation-limits.js';
import {StateFollower} from '../../src/services/forwarding/state/state-follower.js';

const stepMilliseconds = 10;
const seconds = 40;
/** Time between two versions, each of which takes a key away. */
const versionMilliseconds = 700;
const storeTimeoutMilliseconds = 800;
const reportIntervalMilliseconds = 500;
const holdMilliseconds = 250;
const drainMilliseconds = 2000;

type Troubles = {
	/** One in so many answers is lost. */
	readonly lostAnswers: number;
	/** Longest time for which an answer of the store is under way. */
	readonly storeMilliseconds: number;
	/** Longest time for which a message between hosts is under way, in each direction. */
	readonly transitMilliseconds: number;
	/** One in so many answers waits in a process that stands still, for up to twice the bound. */
	readonly frozenAnswers: number;
	/** True while a host has no way to the store. */
	readonly isCut: (host: string, milliseconds: number) => boolean;
};

const never = 1_000_000;
const calm: Troubles = {
	lostAnswers: never,
	storeMilliseconds: 20,
	transitMilliseconds: 20,
	frozenAnswers: never,
	isCut: () => false,
};

async function wait(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

/** Times at which versions were stored and acknowledged. */
type Versions = number[];

/** The document as one host reads it by long polls, over calls that are slow and lose answers. */
class ReadDocument extends SharedState<number> {
	constructor(
		private readonly versions: Versions,
		private readonly delays: Delays,
		private readonly isCut: () => boolean,
	) {
		super();
	}

	readNewest(): ResultAsync<StoreChanges<number>, SharedStoreError> {
		return okAsync({changes: [], next: this.versions.length});
	}

	readSince(
		position: number,
		waitMilliseconds: number,
	): ResultAsync<StoreChanges<number>, SharedStoreError> {
		if (this.isCut() || this.delays.isLost()) {
			return ResultAsync.fromSafePromise(
				wait(waitMilliseconds + storeTimeoutMilliseconds),
			).andThen(() => errAsync(new SharedStoreError('unknown', 'lost')));
		}

		return ResultAsync.fromSafePromise(
			(async () => {
				await this.delays.store();
				let waited = 0;
				while (waited < waitMilliseconds && this.versions.length === position) {
					await wait(stepMilliseconds);
					waited += stepMilliseconds;
				}

				const changes = this.versions.slice(position);
				await this.delays.store();
				return {changes, next: position + changes.length};
			})(),
		);
	}
}

/** Draws the delays of messages. */
class Delays {
	constructor(
		private readonly random: SeededRandomSource,
		private readonly troubles: Troubles,
		private readonly frozenMilliseconds: number,
	) {}

	isLost(): boolean {
		return this.random.integer(this.troubles.lostAnswers) === 0;
	}

	async store(): Promise<void> {
		await wait(this.random.integer(this.troubles.storeMilliseconds / 2));
		await this.freeze();
	}

	async transit(): Promise<void> {
		await wait(this.random.integer(this.troubles.transitMilliseconds));
		await this.freeze();
	}

	private async freeze(): Promise<void> {
		if (this.random.integer(this.troubles.frozenAnswers) === 0) {
			await wait(this.random.integer(this.frozenMilliseconds));
		}
	}
}

/** Reports to another host again and again, as the report client does, and receives the position of its document. */
async function report(
	clock: ManualClock,
	{
		delays,
		follower,
		sender,
	}: {
		readonly delays: Delays;
		readonly follower: StateFollower<number>;
		readonly sender: StateFollower<number>;
	},
): Promise<void> {
	for (;;) {
		const sentAt = clock.monotonic();
		await delays.transit();
		const arrivedAt = clock.monotonic();
		await wait(holdMilliseconds);
		const heldMilliseconds = clock.monotonic() - arrivedAt;
		const {currentPosition, ageMilliseconds, confirmationAgeMilliseconds} =
			sender;
		await delays.transit();
		if (!delays.isLost()) {
			const age = (milliseconds: number) =>
				receivedAge({
					ageMilliseconds: milliseconds,
					roundTripMilliseconds: clock.monotonic() - sentAt,
					heldMilliseconds,
				});
			follower.receivePosition(
				currentPosition,
				age(ageMilliseconds),
				age(confirmationAgeMilliseconds),
			);
		}

		await wait(
			Math.max(0, reportIntervalMilliseconds - (clock.monotonic() - sentAt)),
		);
	}
}

type Outcome = {
	/** Longest time for which a host relied on a version after the next one had been acknowledged. */
	readonly longestReliance: number;
	/** Share of the time in which a host relied on its keys. */
	readonly reliedShare: number;
};

/** Plays a store, an owner, a relay and a host behind it, while versions follow each other. */
async function play(
	seed: number,
	revokeMilliseconds: number,
	troubles: Troubles,
): Promise<Outcome> {
	const clock = new ManualClock();
	const limits = revocationLimits(revokeMilliseconds);
	const versions: Versions = [];
	const delays = new Delays(
		new SeededRandomSource(seed),
		troubles,
		2 * revokeMilliseconds,
	);
	const followers = ['owner', 'relay', 'host'].map(
		(name) =>
			new StateFollower<number>({
				name,
				state: new ReadDocument(versions, delays, () =>
					troubles.isCut(name, clock.monotonic()),
				),
				clock,
				events: new NullEventLogger(),
				pollTimeoutMilliseconds: limits.pollMilliseconds,
				readDelayMilliseconds: () => 0,
				maximumReceivedAgeMilliseconds: maximumListAge(drainMilliseconds),
				maximumConfirmationAgeMilliseconds: limits.maximumReceivedMilliseconds,
				repeatMilliseconds: 350,
				isReader: () => name === 'owner',
			}),
	);
	const [owner, relay, host] = followers as [
		StateFollower<number>,
		StateFollower<number>,
		StateFollower<number>,
	];
	for (const follower of followers) {
		void follower.run();
	}

	void report(clock, {delays, follower: relay, sender: owner});
	void report(clock, {delays, follower: host, sender: relay});
	let longestReliance = 0;
	let relied = 0;
	let checks = 0;
	for (let time = 0; time < seconds * 1000; time += stepMilliseconds) {
		if (time % versionMilliseconds === 0) {
			versions.push(clock.monotonic());
		}

		clock.advance(stepMilliseconds);
		mock.timers.tick(stepMilliseconds);
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		for (const follower of followers) {
			checks++;
			if (follower.confirmationAgeMilliseconds >= limits.reliedOnMilliseconds) {
				continue;
			}

			relied++;
			const nextAt = versions[follower.currentPosition];
			if (nextAt !== undefined) {
				longestReliance = Math.max(longestReliance, clock.monotonic() - nextAt);
			}
		}
	}

	for (const follower of followers) {
		follower.dispose();
	}

	return {longestReliance, reliedShare: relied / checks};
}

const kinds: ReadonlyArray<readonly [string, Troubles, number]> = [
	['nothing is wrong', calm, 1],
	[
		'answers are lost and late',
		{...calm, lostAnswers: 3, storeMilliseconds: 300, transitMilliseconds: 400},
		0.5,
	],
	[
		'answers wait in processes that stand still',
		{...calm, lostAnswers: 10, frozenAnswers: 4},
		0,
	],
	[
		'the owner or the host has no way to the store',
		{
			...calm,
			frozenAnswers: 20,
			isCut: (name, milliseconds) =>
				name === 'owner'
					? milliseconds % 20_000 > 12_000
					: name === 'host' && milliseconds % 15_000 > 5000,
		},
		0.3,
	],
	[
		'no host has a way to the store',
		{...calm, isCut: (_, milliseconds) => milliseconds % 15_000 > 5000},
		0.2,
	],
];

// Guards against a host that accepts a key although a version without it was acknowledged more than the bound ago, because
// it believes that its document is newer than it is.
for (const revokeMilliseconds of [2000, 5000]) {
	for (const [name, troubles, leastShare] of kinds) {
		test(`no host accepts a key ${revokeMilliseconds} ms after it was taken away when ${name}`, async (context) => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				let longest = 0;
				let least = 1;
				for (let seed = 1; seed <= 6; seed++) {
					const {longestReliance, reliedShare} = await play(
						seed,
						revokeMilliseconds,
						troubles,
					);
					longest = Math.max(longest, longestReliance);
					least = Math.min(least, reliedShare);
					assert.ok(
						longestReliance < revokeMilliseconds,
						`seed ${seed}: ${longestReliance} ms`,
					);
					assert.ok(
						reliedShare >= leastShare - 0.01,
						`seed ${seed}: a share of ${reliedShare} accepted`,
					);
				}

				context.diagnostic(
					`longest reliance ${longest} ms, least share of the time ${least.toFixed(3)}`,
				);
			} finally {
				mock.timers.reset();
			}
		});
	}
}
