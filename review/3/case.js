/* eslint-disable camelcase -- these are the names of the platform. */
/** Half of the processes, the owner of the lease first, are killed at the same moment while workers of two software versions serve. */
import {sleep, waitUntil} from '../common/processes.js';
import {hasTrouble, route, runCase} from '../common/setup.js';
import {consumeStream, streamBehaviour} from '../common/streams.js';

const zones = ['palermo', 'catania', 'messina'];
const hostCount = 8;
const killedCount = 4;
const streamsPerHost = 6;
const eventCount = 160;
const eventMilliseconds = 50;
const deadline = 15_000;
/** Tries of a consumer for one stream. */
const maximumTries = 4;

await runCase('review/3/record.txt', async (setup, record) => {
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
	for (let index = 0; index < 6; index++) {
		await setup.addWorker(
			`i-${index}`,
			{
				service: 'lm',
				slots: 64,
				version: index < 3 ? 'v1' : 'v2',
				zone: zones[index % 3],
			},
			behaviour,
		);
	}

	const hosts = [];
	for (let index = 0; index < hostCount; index++) {
		const zone = zones[index % 3];
		hosts.push(
			await setup.startHost(`front-${zone}-${Math.floor(index / 3) + 1}`, {
				zone,
			}),
		);
	}

	for (const host of hosts) {
		if (!(await setup.deployment.waitReady(host))) {
			return undefined;
		}
	}

	const owner = await waitUntil(
		() =>
			hosts.find(({lines}) =>
				lines.some((line) => line.includes('"ownership-gained"')),
			),
		10_000,
	);
	if (!owner) {
		return undefined;
	}

	await sleep(4000);
	const killed = [
		owner,
		...hosts.filter((host) => host !== owner).slice(0, killedCount - 1),
	];
	const surviving = hosts.filter((host) => !killed.includes(host));
	record.add(
		`${owner.name} holds the lease; to be killed: ${killed.map(({name}) => name).join(', ')}`,
	);
	const streams = killed.flatMap((host, hostIndex) =>
		Array.from({length: streamsPerHost}, async (_, index) =>
			consumeStream(record, {
				name: `r-${hostIndex}-${index}`,
				path: '/draft/x',
				deadline,
				maximumTries,
				hostFor: (attempt) =>
					attempt === 1
						? host
						: surviving[(index + attempt) % surviving.length],
			}),
		),
	);
	await sleep(3000);
	if (hasTrouble) {
		record.add('half of the processes are killed');
		for (const {child} of killed) {
			child.kill('SIGKILL');
		}
	} else {
		// Without the disruption the consumers' own channels break, which the hosts survive.
		record.add('nothing is killed');
	}

	await sleep(1000);
	const fresh = Array.from({length: 24}, async (_, index) =>
		consumeStream(record, {
			name: `n-${index}`,
			path: '/draft/x',
			deadline,
			maximumTries: 1,
			hostFor: () => surviving[index % surviving.length],
		}),
	);
	const results = await Promise.all(streams);
	const freshResults = await Promise.all(fresh);
	const takenUp = results.filter(({tries}) =>
		tries.some(({isTakenUp}) => isTakenUp),
	);
	const goesOn = takenUp.filter(({tries}) =>
		tries.some(({isTakenUp, goesOn}) => isTakenUp && goesOn),
	);
	const begun = freshResults.filter(({tries}) =>
		tries.some(({goesOn}) => goesOn),
	);
	record.add(
		`${takenUp.length} streams were taken up again at hosts in touch, ${goesOn.length} of them went on; ${begun.length} of ${freshResults.length} new streams began there`,
	);
	return (
		takenUp.length >= 12 &&
		goesOn.length / takenUp.length < begun.length / freshResults.length / 2
	);
});
