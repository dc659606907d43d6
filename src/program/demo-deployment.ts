import {err, ok, type Result} from 'neverthrow';
import {v7 as uuid} from 'uuid';
import {HttpLogService} from '../adapters/node/http-log-service.js';
import {sha256} from '../base/common/digest.js';
import {Disposable, DisposableStore} from '../base/common/disposable.js';
import {type ControlRecord} from '../contracts/control-record.js';
import {type RecordId, type Revision} from '../contracts/ids.js';
import {type LogError} from '../contracts/log-service.js';
import {EngineServer} from '../stand-ins/engine-server.js';
import {HostListServer} from '../stand-ins/host-list-server.js';
import {LogServer} from '../stand-ins/log-server.js';
import {ServiceServer} from '../stand-ins/service-server.js';
import {WeightStoreServer} from '../stand-ins/weight-store-server.js';
import {settingsSchema, type Settings} from './settings.js';

const gigabyte = 1_000_000_000;
const modelBytes = 8 * gigabyte;
const engineMemoryBytes = 40 * gigabyte;

/** API key of the caller and bearer token of the operator in the demonstration. */
export const demoCredentials = {
	callerKey: 'demo-caller-key',
	operatorToken: 'demo-operator-token',
} as const;

type Addresses = {
	readonly log: string;
	readonly hostList: string;
	readonly weightStore: string;
	readonly engines: readonly string[];
	readonly service: string;
};

/** Stand-ins for the platform, two engines and one service, with matching settings and a matching document. */
export class DemoDeployment extends Disposable {
	/** Starts all stand-ins on free ports of the loopback interface. */
	static async start(): Promise<DemoDeployment> {
		const standIns = new DisposableStore();
		const start = async (
			standIn: Disposable & {start(): Promise<{readonly address: string}>},
		): Promise<string> => {
			const {address} = await standIns.add(standIn).start();
			return address;
		};

		const engine = (target: string): EngineServer =>
			new EngineServer({
				target,
				memoryBytes: engineMemoryBytes,
				honoursFencing: true,
			});
		return new DemoDeployment(standIns, {
			log: await start(new LogServer()),
			hostList: await start(
				new HostListServer({entries: [{name: 'demo-host', state: 'live'}]}),
			),
			weightStore: await start(new WeightStoreServer()),
			engines: [
				await start(engine('engine-1')),
				await start(engine('engine-2')),
			],
			service: await start(new ServiceServer()),
		});
	}

	private constructor(
		private readonly standIns: DisposableStore,
		private readonly addresses: Addresses,
	) {
		super();
	}

	/** Returns the settings of the single host. It listens on three consecutive ports from the first one, or on free ports if that is 0. */
	settings(firstPort: number): Settings {
		const listen = (offset: number): string =>
			`127.0.0.1:${firstPort === 0 ? 0 : firstPort + offset}`;
		return settingsSchema.parse({
			host: 'demo-host',
			failureDomain: 'demo',
			listen: {callers: listen(0), operators: listen(1), peers: listen(2)},
			platform: {
				logService: this.addresses.log,
				hostList: this.addresses.hostList,
				weightStore: this.addresses.weightStore,
			},
			peerSecret: uuid(),
			operators: [
				{name: 'demo', tokenDigest: sha256(demoCredentials.operatorToken)},
			],
			log: {format: 'text'},
		});
	}

	/** Appends the document to the log, as the submission by an operator does. Fails when the log does not accept it within 3 s. */
	async submitDocument(): Promise<Result<void, LogError>> {
		const record: ControlRecord = {
			kind: 'document-submitted',
			expectedRevision: 0 as Revision,
			operator: 'demo',
			summary: 'document of the demonstration',
			time: Date.now(),
			document: this.document(),
		};
		const log = new HttpLogService({
			address: this.addresses.log,
			responseTimeoutMilliseconds: 3000,
		});
		const appended = await log.append('control', [
			{id: uuid() as RecordId, body: record},
		]);
		await log.dispose();
		return appended.isErr() ? err(appended.error) : ok(undefined);
	}

	/** Stops all stand-ins. */
	async dispose(): Promise<void> {
		await this.standIns.dispose();
	}

	private document(): unknown {
		return {
			schema: 1,
			pools: [
				{
					name: 'engines',
					kind: 'engine',
					honoursFencing: true,
					targets: this.addresses.engines.map((address, index) => ({
						id: `engine-${index + 1}`,
						address,
						failureDomain: 'demo',
						memoryBytes: engineMemoryBytes,
					})),
				},
				{
					name: 'services',
					kind: 'service',
					targets: [
						{
							id: 'service-1',
							address: this.addresses.service,
							failureDomain: 'demo',
						},
					],
				},
			],
			models: [{id: 'demo-model', pool: 'engines', bytes: modelBytes}],
			offerings: [{name: 'drafts', model: 'demo-model'}],
			services: [
				{
					name: 'bookings',
					pool: 'services',
					routes: [
						{method: 'GET', pathPrefix: '/', idempotent: true},
						{method: 'POST', pathPrefix: '/', idempotent: false},
					],
				},
			],
			callerClasses: [{name: 'standard', urgency: 'standard'}],
			callers: [
				{
					id: 'demo-caller',
					class: 'standard',
					keyDigests: [sha256(demoCredentials.callerKey)],
					offerings: ['drafts'],
					services: ['bookings'],
				},
			],
			weightStore: {
				loadsPerSecond: 1.5,
				concurrentLoads: 5,
				concurrentAdapterLoads: 40,
			},
		};
	}
}
