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

const longMilliseconds = 90_000;
const callersAtOnce = 4;
// A load takes longer than callers wait, so a copy that goes before the next one serves is a refusal.
const modelLoadMilliseconds = 3000;
const deadlineSeconds = 2;
// The only copy on a leaving target cannot be kept, so callers wait for the load and its discovery.
const moveDeadlineSeconds = 20;
const fleet = new TestFleet();
after(async () => fleet.dispose());

/** Keeps a number of requests to one offering running and notes each answer. */
class ConstantLoad {
	readonly refusals: string[] = [];
	answers = 0;
	longestMilliseconds = 0;
	private isRunning = true;
	private readonly loops: Array<Promise<void>>;

	constructor(
		private readonly hosts: readonly TestHost[],
		private readonly offering: string,
	) {
		this.loops = Array.from({length: callersAtOnce}, async (_, index) =>
			this.loop(this.hosts[index % this.hosts.length]!),
		);
	}

	/** Waits until further requests were answered after this moment. */
	async pass(what: string): Promise<void> {
		const goal = this.answers + 20;
		await waitUntil(`answers ${what}`, () =>
			this.answers >= goal ? true : undefined,
		);
	}

	async stop(): Promise<void> {
		this.isRunning = false;
		await Promise.all(this.loops);
	}

	private async loop(host: TestHost): Promise<void> {
		while (this.isRunning) {
			const started = performance.now();
			const answer = await requestCompletion(host, this.offering);
			this.longestMilliseconds = Math.max(
				this.longestMilliseconds,
				performance.now() - started,
			);
			this.answers++;
			if (answer.status !== 200) {
				this.refusals.push(answer.text);
			}
		}
	}
}

// Guards against a move, a new version or a leaving target that takes the last copy of a model away
// before another one serves: callers would see `no-target` or wait until `deadline`.
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
			const answer = await submitDocument(hosts[0]!, document, revision);
			assert.equal(answer.status, 200, answer.text);
			revision++;
		};

		const model = (id: string, bytes: number, version = '1'): TestModel => ({
			id,
			pool: 'moved',
			bytes,
			version,
			adapters: [{id: `${id}-adapter`, version}],
		});
		// An engine holds one of these, so no model has a spare copy at first.
		const others = [model('other', 600), model('filler', 600)];
		const settled = async (
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
				longMilliseconds,
			);
		const first = [model('asked', 600), ...others];
		await submit(engines, first);
		await settled('the first document', engines, first);
		await waitUntil('the offering is answered', async () => {
			const answers = await Promise.all(
				hosts.map(async (host) => requestCompletion(host, 'of-asked-adapter')),
			);
			return answers.every(({status}) => status === 200) ? true : undefined;
		});
		const load = new ConstantLoad(hosts, 'of-asked-adapter');
		const check = async (what: string) => {
			await load.pass(what);
			assert.deepEqual(load.refusals, [], what);
			const longest = Math.round(load.longestMilliseconds);
			context.diagnostic(`${what}: longest ${longest} ms`);
			load.longestMilliseconds = 0;
		};

		await check('before the changes');

		/** Engines that serve the offering. */
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

		// The version is replaced while a single engine has room beside the old copy.
		const second = [model('asked', 600, '2'), model('other', 600)];
		await submit(engines, second);
		await settled('the second version', engines, second);
		await waitUntil(
			'the first version is gone',
			async () => {
				const answers = await Promise.all(
					engines.map(async ({standIn}) => statisticsOf(standIn)),
				);
				return answers.every(({report}) =>
					(report.artifacts as Array<{key: string}>).every(
						({key}) => key !== 'model/asked@1',
					),
				)
					? true
					: undefined;
			},
			longMilliseconds,
		);
		await check('after its version was replaced');

		// A target leaves while another one holds the model.
		await waitUntil(
			'two targets hold the model and its adapter',
			async () => {
				const found = await holders();
				return found.length >= 2 ? true : undefined;
			},
			longMilliseconds,
		);
		const [left] = await holders();
		assert.ok(left);
		await setFaults(left.standIn, {leaving: true});
		let named = engines.filter((engine) => engine !== left);
		await settled('the other targets hold everything', named, second);
		await check('after a target left');
		await submit(named, second);
		await check('after the target went from the document');

		// The last engine with the model leaves, so that the model moves to an empty one.
		const [spare] = await startEngines(fleet, 'spare', true, {
			modelLoadMilliseconds,
		});
		assert.ok(spare);
		await submit([...named, spare], second, moveDeadlineSeconds);
		await check('after the deadline of the callers grew');
		for (const engine of await holders()) {
			await setFaults(engine.standIn, {leaving: true});
			named = named.filter((other) => other !== engine);
		}

		named.push(spare);
		await settled('the model moved', named, second);
		await check('after the model moved');
		await load.stop();
		assert.deepEqual(load.refusals, []);
		context.diagnostic(`${load.answers} answers, no refusal`);
	},
);
