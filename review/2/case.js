/* eslint-disable camelcase -- these are the names of the platform. */
/** All processes of the system are killed at the moment at which the last worker of the old software version has left the list and still serves its streams. */
import {sleep} from '../common/processes.js';
import {hasTrouble, route, runCase} from '../common/setup.js';
import {consumeStream, streamBehaviour} from '../common/streams.js';

const streamCount = 12;
const eventCount = 100;
const eventMilliseconds = 50;
const deadline = 15_000;
/** Tries of a consumer for one stream. */
const maximumTries = 4;
/** Time until a killed process is started again. */
const restartMilliseconds = 500;
/** Time for which a worker serves after it has left the list: `drain_ms` and a little longer. */
const drainMilliseconds = 2200;

await runCase('review/2/record.txt', async (setup, record) => {
	setup.configure(
		[
			route('draft', {
				kind: 'stream',
				service: 'lm',
				allow_resume: true,
				attempts: 2,
				gap_aim_ms: 150,
			}),
		],
		[{name: 'lm', max_conns: 370}],
	);
	const behaviour = streamBehaviour(record, {eventCount, eventMilliseconds});
	const addWorker = async (id, version) => {
		await setup.addWorker(id, {service: 'lm', slots: 64, version}, behaviour);
		record.add(`worker ${id} of version ${version} is listed`);
	};

	await addWorker('i-1', 'v1');
	await addWorker('i-2', 'v1');
	const hosts = [];
	for (const name of ['front-palermo-1', 'front-catania-1']) {
		const host = await setup.startHost(name);
		hosts.push(host);
	}

	for (const host of hosts) {
		if (!(await setup.deployment.waitReady(host))) {
			return undefined;
		}
	}

	await sleep(3000);
	const streams = Array.from({length: streamCount}, async (_, index) =>
		consumeStream(record, {
			name: `r-${index}`,
			path: '/draft/x',
			deadline,
			maximumTries,
			hostFor: (attempt) => hosts[(index + attempt) % hosts.length],
		}),
	);
	await sleep(500);
	// The workers of the service are replaced. The old ones serve on for drain_ms after they left the list.
	await addWorker('i-3', 'v2');
	await addWorker('i-4', 'v2');
	await sleep(1000);
	setup.unlist('i-1');
	setup.unlist('i-2');
	const unlistedAt = performance.now();
	record.add('the workers of version v1 have left the list and serve on');
	await sleep(1000);
	if (hasTrouble) {
		record.add('all processes are killed');
		const killed = [...hosts];
		for (const {child} of killed) {
			child.kill('SIGKILL');
		}

		await sleep(restartMilliseconds);
		for (const [index, {name, ports}] of killed.entries()) {
			hosts[index] = await setup.startHost(name, {ports});
		}

		record.add('all processes are started again');
		await sleep(
			Math.max(0, unlistedAt + drainMilliseconds - performance.now()),
		);
		setup.workers.get('i-1').stop();
		setup.workers.get('i-2').stop();
		record.add('the workers of version v1 have ended');
	}

	const results = await Promise.all(streams);
	let mixed = 0;
	for (const {name, versions, last} of results) {
		mixed += versions.length > 1 ? 1 : 0;
		record.add(
			`stream ${name}: events up to ${last}, of version ${versions.join(' and ')}`,
		);
	}

	record.add(
		`${mixed} streams hold events of two versions (more than two break the rule)`,
	);
	return mixed > 2;
});
