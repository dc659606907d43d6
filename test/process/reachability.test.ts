import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {
	requestCompletion,
	memoryDocument,
	missingArtifacts,
	startEngines,
	type TestEngine,
	type TestModel,
} from './memory-deployment.js';
import {TestFleet, waitUntil, type TestHost} from './processes.js';
import {
	hostSettings,
	setFaults,
	startPlatform,
	statisticsOf,
	submitDocument,
} from './test-deployment.js';

const convergenceTimeoutMilliseconds = 90_000;
const concurrentCallers = 4;
// A load takes longer than callers wait, so removing a replica before the next one serves causes a refusal.
const modelLoadMilliseconds = 3000;
const deadlineSeconds = 2;
// The only replica on a leaving target cannot be kept, so callers wait until another target has loaded the
// model and reported it.
const moveDeadlineSeconds = 20;
const fleet = new TestFleet();
after(async () => fleet.dispose());

/** Keeps a constant number of requests to one offering running and records refusals and the longest duration. */
class ConstantLoad {
	readonly refusals: string[] = [];
	responseCount = 0;
	longestMilliseconds = 0;
	private isRunning = true;
	private readonly loops: Array<Promise<void>>;

	constructor(
		private readonly hosts: readonly TestHost[],
		private readonly offering: string,
	) {
		this.loops = Array.from({length: concurrentCallers}, async (_, index) =>
			this.sendContinuously(this.hosts[index % this.hosts.length]!),
		);
	}

	/** Waits until 20 further requests have completed. */
	async waitForResponses(description: string): Promise<void> {
		const targetCount = this.responseCount + 20;
		await waitUntil(`responses ${description}`, () =>
			this.responseCount >= targetCount ? true : undefined,
		);
	}

	/** Waits until the running requests have completed, without starting new ones. */
	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.loops);
	}

	private async sendContinuously(host: TestHost): Promise<void> {
		while (this.isRunning) {
			const started = performance.now();
			const response = await requestCompletion(host, this.offering);
			this.longestMilliseconds = Math.max(
				this.longestMilliseconds,
				performance.now() - started,
			);
			this.responseCount++;
			if (response.status !== 200) {
				this.refusals.push(response.text);
			}
		}
	}
}

// If the last replica of a model were removed before another one serves, callers would receive
// `no-target` or wait until `deadline`.
test(
	'a constant load is answered while its model moves, its version is replaced and a target leaves',
	{timeout: 300_000},
	async (context) => {
		const platform = await startPlatform(fleet);
		const engines = await startEngines(fleet, 'moved', true, {
			modelLoadMilliseconds,
		});
		const hosts = await Promise.all(
			['palermo', 'catania'].map(async (domain, index) =>
				fleet.host(
					`moved-${index}`,
					hostSettings(platform, `moved-${index}`, domain),
				),
			),
		);
		let revision = 0;
		const submit = async (
			named: readonly TestEngine[],
			models: readonly TestModel[],
			seconds = deadlineSeconds,
		) => {
			const pool = {name: 'moved', honoursFencing: true, engines: named};
			const document = memoryDocument([pool], models, seconds);
			const response = await submitDocument(hosts[0]!, document, revision);
			assert.equal(response.status, 200, response.text);
			revision++;
		};

		const model = (id: string, bytes: number, version = '1'): TestModel => ({
			id,
			pool: 'moved',
			bytes,
			version,
			adapters: [{id: `${id}-adapter`, version}],
		});
		// Each engine has room for one of these models, so no model has a spare replica at first.
		const others = [model('other', 600), model('filler', 600)];
		const waitUntilResident = async (
			what: string,
			named: readonly TestEngine[],
			models: readonly TestModel[],
		) =>
			waitUntil(
				what,
				async () => {
					const missing = await missingArtifacts(named, models);
					return missing.length === 0 ? true : undefined;
				},
				convergenceTimeoutMilliseconds,
			);
		const first = [model('asked', 600), ...others];
		await submit(engines, first);
		await waitUntilResident('the first document', engines, first);
		await waitUntil('the offering is answered', async () => {
			const responses = await Promise.all(
				hosts.map(async (host) => requestCompletion(host, 'of-asked-adapter')),
			);
			return responses.every(({status}) => status === 200) ? true : undefined;
		});
		const load = new ConstantLoad(hosts, 'of-asked-adapter');
		const assertNoRefusals = async (what: string) => {
			await load.waitForResponses(what);
			assert.deepEqual(load.refusals, [], what);
			const longest = Math.round(load.longestMilliseconds);
			context.diagnostic(`${what}: longest ${longest} ms`);
			load.longestMilliseconds = 0;
		};

		await assertNoRefusals('before the changes');

		/** Returns the engines that serve the offering and are not leaving. */
		const holders = async () => {
			const found: TestEngine[] = [];
			for (const engine of engines) {
				const {report} = await statisticsOf(engine.standIn);
				const keys = (
					report.artifacts as Array<{key: string; state: string}>
				).flatMap(({key, state}) => (state === 'resident' ? key : []));
				const isServing = ['model/asked@', 'adapter/asked-adapter@'].every(
					(prefix) => keys.some((key) => key.startsWith(prefix)),
				);
				if (isServing && !report.leaving) {
					found.push(engine);
				}
			}

			return found;
		};

		// The version is replaced while only one engine has room for it in addition to the old replica.
		const second = [model('asked', 600, '2'), model('other', 600)];
		await submit(engines, second);
		await waitUntilResident('the second version', engines, second);
		await waitUntil(
			'the first version is unloaded',
			async () => {
				const responses = await Promise.all(
					engines.map(async ({standIn}) => statisticsOf(standIn)),
				);
				return responses.every(({report}) =>
					(report.artifacts as Array<{key: string}>).every(
						({key}) => key !== 'model/asked@1',
					),
				)
					? true
					: undefined;
			},
			convergenceTimeoutMilliseconds,
		);
		await assertNoRefusals('after its version was replaced');

		// A target leaves while another one holds the model.
		await waitUntil(
			'two targets hold the model and its adapter',
			async () => {
				const found = await holders();
				return found.length >= 2 ? true : undefined;
			},
			convergenceTimeoutMilliseconds,
		);
		const [leavingEngine] = await holders();
		assert.ok(leavingEngine);
		await setFaults(leavingEngine.standIn, {leaving: true});
		let named = engines.filter((engine) => engine !== leavingEngine);
		await waitUntilResident('the other targets hold everything', named, second);
		await assertNoRefusals('after a target left');
		await submit(named, second);
		await assertNoRefusals('after the target was removed from the document');

		// The last engine with the model leaves, so that the model moves to an empty one.
		const [spare] = await startEngines(fleet, 'spare', true, {
			modelLoadMilliseconds,
		});
		assert.ok(spare);
		await submit([...named, spare], second, moveDeadlineSeconds);
		await assertNoRefusals('after the deadline of the callers grew');
		for (const engine of await holders()) {
			await setFaults(engine.standIn, {leaving: true});
			named = named.filter((other) => other !== engine);
		}

		named.push(spare);
		await waitUntilResident('the model moved', named, second);
		await assertNoRefusals('after the model moved');
		await load.stop();
		assert.deepEqual(load.refusals, []);
		context.diagnostic(`${load.responseCount} responses, no refusal`);
	},
);
