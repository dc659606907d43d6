import {setTimeout as delay} from 'node:timers/promises';
import {type Result} from 'neverthrow';
import {type DisposableStore} from '../base/common/disposable.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {type HostAdmissionGate} from '../services/entry/host-admission-gate.js';
import {type LeaseManager} from '../services/lease-manager.js';
import {type MembershipTask} from '../services/membership-task.js';
import {type Settings} from './settings.js';

/** Shortest drain. Load balancers keep sending for about one health check after readiness goes off. Until then a request on an open connection receives a response that closes the connection; closing the connection at once would abort the request. */
const minimumDrainMilliseconds = 2000;

/** Failure to start a host. The message names the listener that failed. */
export class StartError extends Error {
	override readonly name = 'StartError';
}

/** Ports that a running host listens on. */
export type HostPorts = {
	readonly callers: number;
	readonly operators: number;
	readonly peers: number;
};

/** Starts a host that stops on SIGTERM or SIGINT. Resolves with its ports when it listens, or with the failure to start. */
export type RunHost = (settings: Settings) => Promise<Result<HostPorts, Error>>;

/** Components that take part in a planned stop. */
export type RunningHostOptions = {
	readonly disposables: DisposableStore;
	readonly gate: HostAdmissionGate;
	readonly membership: MembershipTask;
	readonly leases: LeaseManager;
	readonly events: EventLogger;
	/** Longest wait for running requests during a stop. */
	readonly drainMilliseconds: number;
};

/** A started host that serves requests. */
export class RunningHost {
	constructor(
		readonly ports: HostPorts,
		private readonly options: RunningHostOptions,
	) {}

	/** Log of the host. */
	get events(): EventLogger {
		return this.options.events;
	}

	/** Refuses new requests, releases the leases, waits for running requests up to the drain timeout and disposes of all components. */
	async stop(): Promise<void> {
		const {gate, membership, leases, disposables, events} = this.options;
		events.record(operatorEvents.hostStopping, {inFlight: gate.inFlight});
		gate.stop();
		await Promise.all([
			membership.leave(),
			leases.releaseAll(),
			waitAtMost(gate.waitUntilIdle(), this.options.drainMilliseconds),
			delay(minimumDrainMilliseconds),
		]);
		await membership.recordStop();
		const unfinished = gate.inFlight;
		await disposables.dispose();
		events.record(operatorEvents.hostStopped, {unfinished});
	}
}

async function waitAtMost(
	work: Promise<void>,
	milliseconds: number,
): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const limit = new Promise<void>((resolve) => {
		timer = setTimeout(resolve, milliseconds);
	});
	await Promise.race([work, limit]);
	clearTimeout(timer);
}
