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
import {StateFollower} from '../../src/services/forwarding/state/state-follower.js';

const stepMilliseconds = 10;
/** Beats of targets, each of which is a record. */
const beatMilliseconds = 60;
/** Records that one read returns at most. */
const recordsOfRead = 40;
/** Time in which a request that is being dispatched is sent. */
const dispatchMilliseconds = 100;
const storeTimeoutMilliseconds = 800;
const reportIntervalMilliseconds = 500;
const holdMilliseconds = 250;

type Troubles = {
	/** One in so many calls to the store has no answer, but never two of one host in a row. */
	readonly lostAnswers: number;
	/** Longest time for which an answer of the store is under way. */
	readonly storeMilliseconds: number;
	/** Longest time for which a message between hosts is under way or waits to be handled, in each direction. */
	readonly transitMilliseconds: number;
	/** Time from which the owner responds to nobody, infinite for never. */
	readonly ownerSilentFrom: number;
};

class VirtualStore {
	/** Times at which records were written. */
	readonly records: number[] = [];
}

/** The state as one host reads it, over calls that are slow and lose answers. */
class ReadState extends SharedState<number> {
	private hasLostLast = false;

	constructor(
		private readonly store: VirtualStore,
		private readonly random: SeededRandomSource,
		private readonly troubles: Troubles,
	) {
		super();
	}

	readNewest(): ResultAsync<StoreChanges<number>, SharedStoreError> {
		return okAsync({changes: [], next: this.store.records.length});
	}

	readSince(
		position: number,
	): ResultAsync<StoreChanges<number>, SharedStoreError> {
		const {lostAnswers, storeMilliseconds} = this.troubles;
		this.hasLostLast =
			!this.hasLostLast && this.random.integer(lostAnswers) === 0;
		if (this.hasLostLast) {
			return ResultAsync.fromSafePromise(
				wait(storeTimeoutMilliseconds),
			).andThen(() => errAsync(new SharedStoreError('unknown', 'lost')));
		}

		const there = this.random.integer(storeMilliseconds / 2);
		const back = this.random.integer(storeMilliseconds / 2);
		return ResultAsync.fromSafePromise(
			(async () => {
				await wait(there);
				const changes = this.store.records.slice(
					position,
					position + recordsOfRead,
				);
				const next = position + changes.length;
				const isPartial = next < this.store.records.length;
				await wait(back);
				return isPartial ? {changes, next, isPartial} : {changes, next};
			})(),
		);
	}
}

/** A host with its follower of the target list. */
class VirtualHost {
	readonly follower: StateFollower<number>;
	/** Records that this host knows, by position. */
	known = 0;
	/** Time at which each record was known. */
	readonly knownAt: number[] = [];

	constructor(
		private readonly clock: ManualClock,
		private readonly random: SeededRandomSource,
		private readonly troubles: Troubles,
		options: {
			readonly store: VirtualStore;
			readonly drainMilliseconds: number;
			readonly isOwner: boolean;
		},
	) {
		const {store, drainMilliseconds, isOwner} = options;
		this.follower = new StateFollower({
			name: 'list',
			state: new ReadState(store, random, troubles),
			clock,
			events: new NullEventLogger(),
			pollTimeoutMilliseconds: 0,
			readDelayMilliseconds: () => drainMilliseconds * (isOwner ? 0.12 : 0.475),
			maximumReceivedAgeMilliseconds: maximumListAge(drainMilliseconds),
			repeatMilliseconds: 350,
			isReader: () => isOwner,
		});
		this.follower.changed.subscribe(() => {
			this.learn(this.follower.currentPosition);
		});
	}

	/** Reports to another host again and again, as the report client does. */
	async report(sender: VirtualHost, isSender: () => boolean): Promise<void> {
		for (;;) {
			const sentAt = this.clock.monotonic();
			await this.transit();
			const arrivedAt = this.clock.monotonic();
			await wait(this.random.integer(holdMilliseconds));
			const heldMilliseconds = this.clock.monotonic() - arrivedAt;
			const {currentPosition: position, ageMilliseconds} = sender.follower;
			const isAnswered = isSender();
			await this.transit();
			if (isAnswered) {
				this.receive(position, sentAt, ageMilliseconds, heldMilliseconds);
			}

			const elapsed = this.clock.monotonic() - sentAt;
			await wait(
				Math.max(0, (isAnswered ? reportIntervalMilliseconds : 1100) - elapsed),
			);
		}
	}

	private receive(
		position: number,
		sentAt: number,
		ageMilliseconds: number,
		heldMilliseconds: number,
	): void {
		const isApplied = this.follower.receive({
			changes: [],
			isSnapshot: false,
			position,
			ageMilliseconds: receivedAge({
				ageMilliseconds,
				roundTripMilliseconds: this.clock.monotonic() - sentAt,
				heldMilliseconds,
			}),
		});
		if (isApplied) {
			this.learn(position);
		}
	}

	private learn(position: number): void {
		while (this.known < position) {
			this.knownAt[this.known] = this.clock.monotonic();
			this.known++;
		}
	}

	private async transit(): Promise<void> {
		const {transitMilliseconds} = this.troubles;
		// Most messages are quick.
		await wait(
			this.random.integer(4) === 0
				? this.random.integer(transitMilliseconds)
				: this.random.integer(10),
		);
	}
}

async function wait(milliseconds: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, milliseconds);
	});
}

/** Plays a store, an owner, a relay and a host behind it. Returns the longest time until each of them knew a record. */
async function play(
	seed: number,
	drainMilliseconds: number,
	troubles: Troubles,
): Promise<Record<'owner' | 'relay' | 'host', number>> {
	const clock = new ManualClock();
	const random = new SeededRandomSource(seed);
	const store = new VirtualStore();
	const create = (isOwner: boolean) =>
		new VirtualHost(clock, random, troubles, {
			store,
			drainMilliseconds,
			isOwner,
		});
	const hosts = {
		owner: create(true),
		relay: create(false),
		host: create(false),
	};
	for (const {follower} of Object.values(hosts)) {
		void follower.run();
	}

	const isOwnerResponsive = () => clock.monotonic() < troubles.ownerSilentFrom;
	void hosts.relay.report(hosts.owner, isOwnerResponsive);
	void hosts.host.report(hosts.relay, () => true);
	const seconds = 25;
	for (let time = 0; time < seconds * 1000; time += stepMilliseconds) {
		if (time % beatMilliseconds === 0) {
			store.records.push(clock.monotonic());
		}

		clock.advance(stepMilliseconds);
		mock.timers.tick(stepMilliseconds);
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}

	const longest = ({knownAt}: VirtualHost) =>
		Math.max(
			...store.records.map((writtenAt, position) => {
				const at = knownAt[position] ?? clock.monotonic();
				return at - writtenAt;
			}),
		);
	for (const {follower} of Object.values(hosts)) {
		follower.dispose();
	}

	return {
		owner: longest(hosts.owner),
		relay: longest(hosts.relay),
		host: longest(hosts.host),
	};
}

const kinds: ReadonlyArray<readonly [string, Troubles]> = [
	[
		'store answers are lost',
		{
			lostAnswers: 3,
			storeMilliseconds: 200,
			transitMilliseconds: 100,
			ownerSilentFrom: Number.POSITIVE_INFINITY,
		},
	],
	[
		'messages between hosts are late',
		{
			lostAnswers: 1_000_000,
			storeMilliseconds: 20,
			transitMilliseconds: 1000,
			ownerSilentFrom: Number.POSITIVE_INFINITY,
		},
	],
	[
		'the owner falls silent while answers are lost and messages are late',
		{
			lostAnswers: 3,
			storeMilliseconds: 200,
			transitMilliseconds: 700,
			ownerSilentFrom: 8000,
		},
	],
];

// Guards against requests that reach a target later than the drain bound after it said that it leaves (DRAIN): the host
// believed that its list was younger than it was, or its own read came too late for a second one. Any record may be the
// entry of a leaving target, so each record has to be known in time on the owner, on a relay and behind it.
for (const drainMilliseconds of [2000, 4000]) {
	for (const [name, troubles] of kinds) {
		test(`every host knows a leaving target within ${drainMilliseconds} ms when ${name}`, async (context) => {
			mock.timers.enable({apis: ['setTimeout']});
			try {
				const worst = {owner: 0, relay: 0, host: 0};
				for (let seed = 1; seed <= 12; seed++) {
					const delays = await play(seed, drainMilliseconds, troubles);
					for (const hop of ['owner', 'relay', 'host'] as const) {
						worst[hop] = Math.max(worst[hop], delays[hop]);
						assert.ok(
							delays[hop] <= drainMilliseconds - dispatchMilliseconds,
							`seed ${seed}: ${delays[hop]} ms on the ${hop}`,
						);
					}
				}

				context.diagnostic(`longest delays: ${JSON.stringify(worst)}`);
			} finally {
				mock.timers.reset();
			}
		});
	}
}
