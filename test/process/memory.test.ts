import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	requestCompletion,
	engineBytes,
	memoryDocument,
	missingArtifacts,
	offeringsOf,
	startEngines,
	type TestEngine,
	type TestModel,
} from './memory-deployment.js';
import {
	TestFleet,
	waitUntil,
	type TestHost,
	type TestStandIn,
} from './processes.js';
import {
	askOperator,
	hostSettings,
	setFaults,
	settleOrders,
	startPlatform,
	statisticsOf,
	submitDocument,
	type TestPlatform,
} from './test-deployment.js';

const seed = 20_261_204;
const convergenceTimeoutMilliseconds = 90_000;
const maximumOrderDelayMilliseconds = 9500;
const failureDomains = ['palermo', 'catania', 'messina'];
const fleet = new TestFleet();
after(async () => fleet.dispose());

type Lease = {readonly lease: string; readonly holder: string};

/** Hosts, engines with and without fencing, and the document in force. */
class MemoryDeployment {
	static async start(): Promise<MemoryDeployment> {
		const platform = await startPlatform(fleet);
		const [fenced, recorded] = await Promise.all([
			startEngines(fleet, 'fenced', true),
			startEngines(fleet, 'recorded', false),
		]);
		const deployment = new MemoryDeployment(platform, fenced, recorded);
		await Promise.all(failureDomains.map(async () => deployment.addHost()));
		return deployment;
	}

	readonly hosts: TestHost[] = [];
	models: TestModel[] = ['fenced', 'recorded'].flatMap((pool) =>
		[1, 2, 3, 4, 5].map((number) => ({
			id: `${pool}-m${number}`,
			pool,
			bytes: 280,
			version: '1',
			adapters: [{id: `${pool}-a${number}`, version: '1'}],
		})),
	);

	/** Number of engines of each pool in the document. */
	engineCount = 3;
	/** Memory of each engine in the document. */
	memoryBytes = engineBytes;
	/** Number of orders that the test settled as the operator. */
	settledByOperator = 0;
	private readonly openSince = new Map<string, number>();
	private revision = 0;
	private startedHosts = 0;

	constructor(
		readonly platform: TestPlatform,
		readonly fenced: readonly TestEngine[],
		readonly recorded: readonly TestEngine[],
	) {}

	get engines(): readonly TestEngine[] {
		return [...this.fenced, ...this.recorded];
	}

	async addHost(): Promise<void> {
		const number = ++this.startedHosts;
		const domain = failureDomains[number % failureDomains.length]!;
		const name = `entry-${number}`;
		const settings = hostSettings(this.platform, name, domain);
		this.hosts.push(await fleet.host(name, settings));
	}

	/** Submits the document that the fields describe. */
	async submit(): Promise<void> {
		const document = memoryDocument(
			(['fenced', 'recorded'] as const).map((name) => ({
				name,
				honoursFencing: name === 'fenced',
				engines: this[name].slice(0, this.engineCount),
				memoryBytes: this.memoryBytes,
			})),
			this.models,
		);
		const response = await waitUntil('the document is accepted', async () => {
			const response = await submitDocument(
				this.hosts[0]!,
				document,
				this.revision,
			);
			return response.status === 200
				? response
				: this.wasAccepted(response.text);
		});
		assert.ok(response);
		this.revision++;
	}

	/** Requests each offering and returns those without a successful response. */
	async findFailingOfferings(): Promise<string[]> {
		const names = offeringsOf(this.models).map(({name}) => name);
		const host = this.hosts[0]!;
		const responses = await Promise.all(
			names.map(async (name) => ({
				name,
				response: await requestCompletion(host, name),
			})),
		);
		return responses.flatMap(({name, response}) =>
			response.status === 200 ? [] : [`${name}: ${response.text}`],
		);
	}

	/** Returns the artifacts of the document that are resident on no engine in it. */
	async missing(): Promise<string[]> {
		return missingArtifacts(
			[
				...this.fenced.slice(0, this.engineCount),
				...this.recorded.slice(0, this.engineCount),
			],
			this.models,
		);
	}

	/** Waits for and returns the running host that holds the most group leases. */
	async busiestHolder(): Promise<TestHost> {
		return waitUntil('a live host holds a group', async () => {
			const response = await askOperator(this.hosts[0]!, 'status');
			const leases = response.json.leases as Lease[];
			const countGroupLeases = ({name}: TestHost) =>
				leases.filter(
					({lease, holder}) => lease.startsWith('group/') && holder === name,
				).length;
			const [most] = [...this.hosts].sort(
				(left, right) => countGroupLeases(right) - countGroupLeases(left),
			);
			return most && countGroupLeases(most) > 0 ? most : undefined;
		});
	}

	/** Kills the host with the most group leases and starts another one. */
	async replaceHolder(): Promise<void> {
		const holder = await this.busiestHolder();
		await holder.process.kill();
		this.hosts.splice(this.hosts.indexOf(holder), 1);
		await this.addHost();
	}

	/** Suspends the host with the most group leases until other hosts have acquired them. */
	async suspendHolder(): Promise<void> {
		const holder = await this.busiestHolder();
		holder.process.signal('SIGSTOP');
		this.hosts.splice(this.hosts.indexOf(holder), 1);
		try {
			await waitUntil(
				`other hosts hold the leases of ${holder.name}`,
				async () => {
					const response = await askOperator(this.hosts[0]!, 'status');
					const leases = response.json.leases as Lease[];
					return leases.every((lease) => lease.holder !== holder.name)
						? true
						: undefined;
				},
				convergenceTimeoutMilliseconds,
			);
		} finally {
			holder.process.signal('SIGCONT');
		}

		this.hosts.push(holder);
	}

	/** Returns the ids of the open orders. */
	async openOrders(): Promise<string[]> {
		const response = await askOperator(this.hosts[0]!, 'orders');
		return (response.json.orders as Array<{orderId: string}>).map(
			({orderId}) => orderId,
		);
	}

	/** Settles orders as the operator once no delayed or repeated delivery of them can be pending. */
	async settleOldOrders(): Promise<void> {
		const now = performance.now();
		const expired: string[] = [];
		for (const order of await this.openOrders()) {
			const since = this.openSince.get(order) ?? now;
			this.openSince.set(order, since);
			if (now - since > maximumOrderDelayMilliseconds * 1.5) {
				expired.push(order);
			}
		}

		if (expired.length === 0) {
			return;
		}

		const response = await settleOrders(this.hosts[0]!, expired);
		this.settledByOperator += response.status === 200 ? expired.length : 0;
	}

	/** Describes each engine whose memory was overcommitted, with its peak usage. */
	async findOvercommits(): Promise<string[]> {
		const found: string[] = [];
		for (const {id, standIn} of this.engines) {
			const {overcommits, highestBytes} = await statisticsOf(standIn);
			if (overcommits > 0 || highestBytes > engineBytes) {
				found.push(`${id}: ${highestBytes} bytes, ${overcommits} times`);
			}
		}

		return found;
	}

	private wasAccepted(text: string): true | undefined {
		// After a lost response, the document may have been accepted, and submitting it again is a conflict.
		if (text.includes('revision-conflict') || text.includes('conflict')) {
			return true;
		}

		assert.ok(!text.includes('invalid'), text);
		return undefined;
	}
}

const changes: ReadonlyArray<
	readonly [string, (deployment: MemoryDeployment) => void]
> = [
	[
		'models are swapped',
		(deployment) => {
			deployment.models = deployment.models.map((model) =>
				/m[12]$/.test(model.id)
					? {...model, id: model.id.replace('-m', '-n'), bytes: 300}
					: model,
			);
		},
	],
	[
		'versions are replaced',
		(deployment) => {
			deployment.models = deployment.models.map((model) => ({
				...model,
				version: /[345]$/.test(model.id) ? '2' : model.version,
				adapters: model.adapters.map((adapter) => ({...adapter, version: '2'})),
			}));
		},
	],
	[
		'adapters are added',
		(deployment) => {
			deployment.models = deployment.models.map((model) => ({
				...model,
				adapters: [...model.adapters, {id: `${model.id}-more`, version: '1'}],
			}));
		},
	],
	[
		'a pool gets smaller',
		(deployment) => {
			deployment.engineCount = 2;
			deployment.memoryBytes = 980;
		},
	],
	[
		'the pool grows again and models are swapped back',
		(deployment) => {
			deployment.engineCount = 3;
			deployment.memoryBytes = engineBytes;
			deployment.models = deployment.models.map((model) => ({
				...model,
				id: model.id.replace('-n', '-m'),
			}));
		},
	],
];

// Memory must not be assigned twice by a holder that ignores a lost, late or repeated order, by one that
// was suspended, or by one that took over from a dead host. Such orders must not prevent a model or
// adapter from being loaded either.
test(
	'memory is never overcommitted and everything becomes reachable while orders, hosts and the log fail',
	{timeout: 600_000},
	async (context) => {
		const random = new SeededRandomSource(seed);
		const deployment = await MemoryDeployment.start();
		await deployment.submit();
		await waitUntil(
			'everything is resident at first',
			async () => {
				const missing = await deployment.missing();
				return missing.length === 0 ? true : undefined;
			},
			convergenceTimeoutMilliseconds,
		);
		const disruptions = [
			async () => deployment.replaceHolder(),
			async () => deployment.suspendHolder(),
			async () => {
				await setFaults(deployment.platform.log, {outage: 'unavailable'});
				await waitUntil('all hosts detect the outage', async () => {
					const responses = await Promise.all(
						deployment.hosts.map(async (host) => askOperator(host, 'status')),
					);
					return responses.every(({json}) => json.logReachable === false)
						? true
						: undefined;
				});
				await setFaults(deployment.platform.log, {outage: 'none'});
			},
		];
		let affectedOrders = 0;
		for (const [index, [name, change]] of changes.entries()) {
			for (const {standIn} of deployment.engines) {
				const kinds = ['lost', 'delayed', 'repeated'] as const;
				await setFaults(standIn, {
					orders: [0, 1, 2].map(() => ({
						kind: kinds[random.integer(kinds.length)]!,
						remaining: 1,
						delayMilliseconds:
							500 + random.integer(maximumOrderDelayMilliseconds - 500),
					})),
				});
			}

			change(deployment);
			await deployment.submit();
			// The disruption must hit holders that wait for acknowledgements of orders.
			await waitUntil(
				`orders are lost, late or repeated when ${name}`,
				async () => {
					const count = await countAffectedOrders(deployment);
					return count > 0 ? true : undefined;
				},
				convergenceTimeoutMilliseconds,
			);
			await disruptions[index % disruptions.length]!();
			const count = await countAffectedOrders(deployment);
			affectedOrders += count;
			context.diagnostic(`${name}: ${count} orders lost, late or repeated`);
		}

		for (const {standIn} of deployment.engines) {
			await setFaults(standIn, {orders: []});
		}

		await waitUntil(
			'everything is resident at the end',
			async () => {
				await deployment.settleOldOrders();
				const missing = await deployment.missing();
				return missing.length === 0 ? true : undefined;
			},
			convergenceTimeoutMilliseconds,
		).catch(async (error: unknown) => {
			const missing = await deployment.missing();
			assert.fail(`${String(error)}: ${missing.join(', ')}`);
		});
		const failingOfferings = await waitUntil(
			'all offerings are served',
			async () => {
				const names = await deployment.findFailingOfferings();
				return names.length === 0 ? names : undefined;
			},
		).catch(async () => deployment.findFailingOfferings());
		assert.deepEqual(failingOfferings, []);

		// Open orders are settled by a report or by the operator.
		await waitUntil(
			'no order is open',
			async () => {
				const open = await deployment.openOrders();
				await deployment.settleOldOrders();
				return open.length === 0 ? true : undefined;
			},
			convergenceTimeoutMilliseconds,
		);
		assert.deepEqual(await deployment.findOvercommits(), []);
		assert.ok(
			affectedOrders >= 10,
			`only ${affectedOrders} orders were affected by a fault, at least 10 are expected`,
		);
		context.diagnostic(
			`seed ${seed}, ${deployment.settledByOperator} orders settled by the operator`,
		);
	},
);

/** Returns the number of injected order faults that have occurred on the engines. */
async function countAffectedOrders(
	deployment: MemoryDeployment,
): Promise<number> {
	let affectedOrders = 0;
	for (const {standIn} of deployment.engines) {
		const response = await setFaults(standIn, {});
		const orders = response.json.orders as Array<{remaining: number}>;
		affectedOrders += orders.filter(({remaining}) => remaining === 0).length;
	}

	return affectedOrders;
}

// If the order of a dead holder were lost, its memory could be assigned twice. If it stayed open after
// the operator settled it, its memory would never be freed.
test(
	'a lost order of a dead holder is listed until the operator settles it, and frees its memory then',
	{timeout: 300_000},
	async () => {
		const platform = await startPlatform(fleet);
		const [engine] = await startEngines(fleet, 'alone', false);
		assert.ok(engine);
		const model = (id: string): TestModel => ({
			id,
			pool: 'alone',
			bytes: 600,
			version: '1',
			adapters: [],
		});
		const document = (models: readonly TestModel[]) =>
			memoryDocument(
				[{name: 'alone', honoursFencing: false, engines: [engine]}],
				models,
			);
		const first = await fleet.host(
			'alone-1',
			hostSettings(platform, 'alone-1', 'palermo'),
		);
		await submitDocument(first, document([model('small')]), 0);
		await waitUntil('the first model is resident', async () => {
			const missing = await missingArtifacts([engine], [model('small')]);
			return missing.length === 0 ? true : undefined;
		});
		await waitUntil('no order is open', async () => {
			const response = await askOperator(first, 'orders');
			return response.json.orders.length === 0 ? true : undefined;
		});
		await setFaults(engine.standIn, {orders: [{kind: 'lost', remaining: 99}]});
		await submitDocument(first, document([model('large')]), 1);
		const [lost] = await waitUntil('an order is open', async () => {
			const response = await askOperator(first, 'orders');
			return response.json.orders.length > 0
				? (response.json.orders as Array<{orderId: string}>)
				: undefined;
		});
		await first.process.kill();
		await setFaults(engine.standIn, {orders: []});

		const second = await fleet.host(
			'alone-2',
			hostSettings(platform, 'alone-2', 'palermo'),
		);
		await waitUntil(
			'the order is listed with a dead holder',
			async () => {
				const response = await askOperator(second, 'orders');
				const orders = (response.json?.orders ?? []) as Array<{
					orderId: string;
					holderLive: boolean;
				}>;
				return orders.find(
					({orderId, holderLive}) => orderId === lost!.orderId && !holderLive,
				);
			},
			convergenceTimeoutMilliseconds,
		);
		const settled = await settleOrders(second, [lost!.orderId]);
		assert.equal(settled.status, 200, settled.text);
		await waitUntil(
			'the second model is resident and no order is open',
			async () => {
				const missing = await missingArtifacts([engine], [model('large')]);
				const response = await askOperator(second, 'orders');
				return missing.length === 0 && response.json.orders.length === 0
					? true
					: undefined;
			},
			convergenceTimeoutMilliseconds,
		);
		const {overcommits, highestBytes} = await statisticsOf(engine.standIn);
		assert.deepEqual(
			{overcommits, highestBytes},
			{overcommits: 0, highestBytes: 600},
		);
	},
);

// A late load must not use memory that the holder, or the next holder, has assigned to another load.
for (const honoursFencing of [true, false]) {
	for (const isKilled of [true, false]) {
		const kind = honoursFencing ? 'fenced' : 'recorded';
		const senderState = isKilled ? 'is dead' : 'lives';
		test(
			`a late load does not overcommit a ${kind} engine when its sender ${senderState}`,
			{timeout: 300_000},
			async () => {
				const platform = await startPlatform(fleet);
				const name = `late-${kind}-${isKilled ? 'dead' : 'live'}`;
				const [engine] = await startEngines(fleet, name, honoursFencing);
				assert.ok(engine);
				const models = ['small', 'large', 'third'].map((id): TestModel => ({
					id,
					pool: name,
					bytes: 600,
					version: '1',
					adapters: [],
				}));
				const pool = {name, honoursFencing, engines: [engine]};
				const settingsOf = (host: string) =>
					hostSettings(platform, host, 'palermo');
				const hosts = [await fleet.host(`${name}-1`, settingsOf(`${name}-1`))];
				const submit = async (index: number) =>
					waitUntil('the document is accepted', async () => {
						const response = await submitDocument(
							hosts.at(-1)!,
							memoryDocument([pool], [models[index]!]),
							index,
						);
						// A host that has just started may not have applied the revision in force yet.
						return response.status === 200 ? true : undefined;
					});
				const waitUntilResident = async (index: number) =>
					waitUntil(
						`${models[index]!.id} is resident`,
						async () => {
							const missing = await missingArtifacts(
								[engine],
								[models[index]!],
							);
							return missing.length === 0 ? true : undefined;
						},
						convergenceTimeoutMilliseconds,
					);
				await submit(0);
				await waitUntilResident(0);
				await submit(1);
				await waitUntil('the first model is unloaded', async () => {
					const {heldBytes} = await statisticsOf(engine.standIn);
					return heldBytes === 0 ? true : undefined;
				});
				// A new holder acquires the lease after 6 s. With a dead sender, the load arrives well after that.
				const delayMilliseconds = isKilled ? 20_000 : 6000;
				await setFaults(engine.standIn, {
					orders: [{kind: 'delayed', remaining: 1, delayMilliseconds}],
				});
				const delayed = await waitUntil('an order is late', async () => {
					const response = await setFaults(engine.standIn, {});
					const [fault] = response.json.orders as Array<{remaining: number}>;
					return fault!.remaining === 0 ? performance.now() : undefined;
				});
				if (isKilled) {
					hosts.push(await fleet.host(`${name}-2`, settingsOf(`${name}-2`)));
					await hosts[0]!.process.kill();
				}

				await submit(2);
				await waitUntilResident(2);
				await waitUntil('the late order arrived and is settled', async () => {
					const response = await askOperator(hosts.at(-1)!, 'orders');
					return performance.now() - delayed > delayMilliseconds + 500 &&
						response.json.orders.length === 0
						? true
						: undefined;
				});
				const {overcommits, highestBytes} = await statisticsOf(engine.standIn);
				assert.deepEqual(
					{overcommits, highestBytes},
					{overcommits: 0, highestBytes: 600},
				);
			},
		);
	}
}
