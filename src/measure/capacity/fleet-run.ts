import {fileURLToPath} from 'node:url';
import {MeasuredProcess} from '../child-process.js';
import {type FleetShape} from './fleet-shape.js';
import {type NodeArguments} from './node-main.js';
import {type SocketBytes} from './socket-meter.js';

/** What a node used in the window of a run. */
export type NodeUse = {
	/** Share of one core. */
	readonly coreShare: number;
	readonly rss: number;
	/** Resident memory after the program was loaded and before it started. */
	readonly loaded: number;
	readonly heapUsed: number;
	readonly external: number;
	/** Bytes a second by purpose. */
	readonly bytes: Readonly<Record<string, SocketBytes>>;
};

const warmUpMilliseconds = 5000;
const windowMilliseconds = 5000;

/** Path of a compiled program of this folder. */
export function programPath(name: string): string {
	return fileURLToPath(new URL(name, import.meta.url));
}

/** Measures a bare Node.js process. */
export async function measureBare(): Promise<NodeUse> {
	return measureNode({warmUpMilliseconds: 500, windowMilliseconds: 1000});
}

/** Measures one real node in a simulated fleet. */
export async function measureShape(shape: FleetShape): Promise<NodeUse> {
	const surroundings = MeasuredProcess.start(programPath('world-main.js'), [
		JSON.stringify(shape),
	]);
	try {
		const world = await surroundings.jsonLine(
			({kind}) => kind === 'world-started',
		);
		return await measureNode({
			world: world as NodeArguments['world'],
			warmUpMilliseconds,
			windowMilliseconds,
		});
	} finally {
		await surroundings.stop();
	}
}

async function measureNode(parameters: NodeArguments): Promise<NodeUse> {
	const node = MeasuredProcess.start(programPath('node-main.js'), [
		JSON.stringify(parameters),
	]);
	try {
		const line = await node.jsonLine(({kind}) => kind === 'node-measured');
		return line as NodeUse;
	} finally {
		await node.stop();
	}
}

/** Sent and received bytes a second, over all purposes. */
export function totalBytes({bytes}: NodeUse): SocketBytes {
	const total = {sent: 0, received: 0};
	for (const {sent, received} of Object.values(bytes)) {
		total.sent += sent;
		total.received += received;
	}

	return total;
}
