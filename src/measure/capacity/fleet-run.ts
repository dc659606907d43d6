import {fileURLToPath} from 'node:url';
import {MeasuredProcess} from '../child-process.js';
import {type FleetShape} from './fleet-shape.js';
import {type NodeArguments} from './node-main.js';
import {type SocketBytes} from './socket-meter.js';

/** Resources that a node used in the measurement window. Memory is in bytes. */
export type NodeUsage = {
	/** Processor time as a share of one core. */
	readonly coreShare: number;
	readonly rss: number;
	/** Resident memory after the program was loaded and before it started; zero for a bare process. */
	readonly loaded: number;
	readonly heapUsed: number;
	readonly external: number;
	/** Bytes per second by purpose of the connection. */
	readonly bytes: Readonly<Record<string, SocketBytes>>;
};

const warmUpMilliseconds = 5000;
const windowMilliseconds = 5000;

/** Returns the path of a compiled program in this folder. */
export function programPath(name: string): string {
	return fileURLToPath(new URL(name, import.meta.url));
}

/** Measures a Node.js process that does not load the program, as the baseline. */
export async function measureBare(): Promise<NodeUsage> {
	return measureNode({warmUpMilliseconds: 500, windowMilliseconds: 1000});
}

/** Measures one real node in a simulated fleet. Throws if a process does not report in time. */
export async function measureShape(shape: FleetShape): Promise<NodeUsage> {
	const environment = MeasuredProcess.start(programPath('world-main.js'), [
		JSON.stringify(shape),
	]);
	try {
		const world = await environment.jsonLine(
			({kind}) => kind === 'world-started',
		);
		return await measureNode({
			world: world as NodeArguments['world'],
			warmUpMilliseconds,
			windowMilliseconds,
		});
	} finally {
		await environment.stop();
	}
}

async function measureNode(parameters: NodeArguments): Promise<NodeUsage> {
	const node = MeasuredProcess.start(programPath('node-main.js'), [
		JSON.stringify(parameters),
	]);
	try {
		const line = await node.jsonLine(({kind}) => kind === 'node-measured');
		return line as NodeUsage;
	} finally {
		await node.stop();
	}
}

/** Sums the sent and received bytes per second over all purposes. */
export function totalBytes({bytes}: NodeUsage): SocketBytes {
	const total = {sent: 0, received: 0};
	for (const {sent, received} of Object.values(bytes)) {
		total.sent += sent;
		total.received += received;
	}

	return total;
}
