import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {Disposable} from '../../base/common/disposable.js';
import {listenOn} from '../../base/node/listen.js';
import {
	engineOrderSchema,
	type EngineOrder,
	type TargetReport,
} from '../../contracts/engine.js';
import {artifactsOf} from './fleet-document.js';
import {names, type FleetShape} from './fleet-shape.js';

type EngineState = {
	readonly target: string;
	artifacts: Array<{key: string; bytes: number; state: 'resident'}>;
	sequence: number;
	highestToken: number;
	reads: number;
};

/** Serves all engines of a measured fleet on one port. The path names the engine; orders take effect immediately. */
export class SimulatedEngines extends Disposable {
	readonly states: ReadonlyMap<string, EngineState>;
	private readonly server: Server;

	constructor(shape: FleetShape) {
		super();
		this.states = new Map(
			names('target', shape.targets).map((target, index) => [
				target,
				{
					target,
					artifacts: artifactsOf(shape, index),
					sequence: 0,
					highestToken: 0,
					reads: 0,
				},
			]),
		);
		this.server = createServer((request, response) => {
			void this.handleRequest(request).then((body) => {
				response.writeHead(body ? 200 : 404, {
					'content-type': 'application/json',
				});
				response.end(JSON.stringify(body ?? {}));
			});
		});
		this.server.keepAliveTimeout = 60_000;
	}

	/** Listens on a free port and returns the base address. Throws if the server cannot listen. */
	async start(): Promise<string> {
		const port = await listenOn(this.server, 0, '127.0.0.1');
		return `http://127.0.0.1:${port._unsafeUnwrap()}`;
	}

	/** Returns the next report of an engine. The load changes from report to report, as under traffic. */
	report(target: string): TargetReport {
		const state = this.states.get(target)!;
		state.sequence++;
		return {
			target,
			incarnation: `${target}-run-1`,
			sequence: state.sequence,
			leaving: false,
			role: 'mixed',
			memoryBytes: 80_000_000_000,
			artifacts: state.artifacts,
			highestToken: state.highestToken,
			running: state.sequence % 8,
			queued: 0,
			slots: 8,
			appliedOrders: [],
		} as unknown as TargetReport;
	}

	dispose(): void {
		this.server.closeAllConnections();
		this.server.close();
	}

	private async handleRequest(request: IncomingMessage): Promise<unknown> {
		const [, target, action] = (request.url ?? '').split('/');
		const state = this.states.get(target ?? '');
		if (!state) {
			return undefined;
		}

		if (action === 'report') {
			state.reads++;
			return this.report(state.target);
		}

		if (action === 'orders') {
			const chunks: Uint8Array[] = [];
			for await (const chunk of request) {
				chunks.push(chunk as Uint8Array);
			}

			const order = engineOrderSchema.parse(
				JSON.parse(Buffer.concat(chunks).toString('utf8')),
			);
			applyOrder(state, order);
			return {orderId: order.orderId, report: this.report(state.target)};
		}

		return undefined;
	}
}

function applyOrder(state: EngineState, order: EngineOrder): void {
	state.highestToken = Math.max(state.highestToken, order.token);
	if (order.action === 'load' || order.action === 'unload') {
		state.artifacts = state.artifacts.filter(({key}) => key !== order.artifact);
	}

	if (order.action === 'load') {
		const {artifact: key, bytes} = order;
		state.artifacts.push({key, bytes, state: 'resident'});
	}
}
