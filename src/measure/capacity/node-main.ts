import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {sha256} from '../../base/common/digest.js';
import {SocketMeter} from './socket-meter.js';

/** Command-line argument of this program, as JSON: the addresses of the environment and the measurement times. */
export type NodeArguments = {
	/** Addresses, host identifier and peer secret; absent for a bare Node.js process. */
	readonly world?: {
		readonly host: string;
		readonly log: string;
		readonly hostList: string;
		readonly peers: string;
		readonly engines: string;
		readonly secret: string;
	};
	readonly warmUpMilliseconds: number;
	readonly windowMilliseconds: number;
};

// Runs a real node, or nothing without `world`, and prints its resource usage in the window as one line of JSON.
const {world, warmUpMilliseconds, windowMilliseconds} = JSON.parse(
	process.argv[2]!,
) as NodeArguments;
setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
const portOf = (address: string) => Number(new URL(address).port);
const meter = new SocketMeter(
	new Map(
		world && [
			[portOf(world.log), 'log'],
			[portOf(world.hostList), 'host list'],
			[portOf(world.peers), 'peers, own calls'],
			[portOf(world.engines), 'targets'],
		],
	),
);
let loaded = 0;
if (world) {
	// Imported only here, since the bare process must not load the program.
	const {startHost} = await import('../../program/composition-root.js');
	const {settingsSchema} = await import('../../program/settings.js');
	collectGarbage();
	loaded = process.memoryUsage().rss;
	const started = await startHost(
		settingsSchema.parse({
			host: world.host,
			failureDomain: 'domain-0',
			listen: {
				callers: '127.0.0.1:0',
				operators: '127.0.0.1:0',
				peers: '127.0.0.1:0',
			},
			platform: {
				logService: world.log,
				hostList: world.hostList,
				weightStore: world.log,
			},
			peerSecret: world.secret,
			operators: [{name: 'measurement', tokenDigest: sha256('token')}],
		}),
	);
	meter.name(started._unsafeUnwrap().ports.peers, 'peers, calls of others');
}

await delay(warmUpMilliseconds);
const bytesBefore = meter.read();
const usedBefore = process.cpuUsage();
const startedAt = performance.now();
await delay(windowMilliseconds);
const used = process.cpuUsage(usedBefore);
const seconds = (performance.now() - startedAt) / 1000;
const bytes = Object.fromEntries(
	Object.entries(meter.read()).map(([purpose, total]) => [
		purpose,
		{
			sent: (total.sent - (bytesBefore[purpose]?.sent ?? 0)) / seconds,
			received:
				(total.received - (bytesBefore[purpose]?.received ?? 0)) / seconds,
		},
	]),
);
const {rss} = process.memoryUsage();
collectGarbage();
const {heapUsed, external} = process.memoryUsage();
process.stdout.write(
	`${JSON.stringify({
		kind: 'node-measured',
		coreShare: (used.user + used.system) / 1_000_000 / seconds,
		rss,
		loaded,
		heapUsed,
		external,
		bytes,
	})}\n`,
);
// Keeps the bare process running until the parent stops it, like a node.
setInterval(() => undefined, 60_000);
