import {setTimeout as delay} from 'node:timers/promises';
import {type DisposableStore} from '../base/common/disposable.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {operatorEvents} from '../contracts/events/operator-events.js';
import {type HostAdmissionGate} from '../services/entry/host-admission-gate.js';
import {type LeaseManager} from '../services/lease-manager.js';
import {type MembershipTask} from '../services/membership-task.js';

// Balancers send on for about one health check after readiness went off. Until then a request on a connection that they keep open gets an answer that closes the connection, where closing it at once would cut the request.
const minimumDrainMilliseconds = 2000;

/** A host could not start. The message says which listener failed. */
export class StartError extends Error {
	override readonly name = 'StartError';
}

/** Ports that a running host listens on. */
export type HostPorts = {
	readonly callers: number;
	readonly operators: number;
	readonly peers: number;
};

/** The parts of a host that a planned stop concerns. */
export type RunningParts = {
	readonly owned: DisposableStore;
	readonly gate: HostAdmissionGate;
	readonly membership: MembershipTask;
	readonly leases: LeaseManager;
	readonly events: EventLogger;
	readonly drainMilliseconds: number;
};

/** A host that serves. */
export class RunningHost {
	constructor(
		readonly ports: HostPorts,
		private readonly parts: RunningParts,
	) {}

	/** Takes no new work, hands its leases over, lets running requests end, and releases everything. */
	async stop(): Promise<void> {
		const {gate, membership, leases, owned, events} = this.parts;
		events.record(operatorEvents.hostStopping, {inFlight: gate.inFlight});
		gate.stop();
		await Promise.all([
			membership.leave(),
			leases.releaseAll(),
			withinLimit(gate.waitUntilIdle(), this.parts.drainMilliseconds),
			delay(minimumDrainMilliseconds),
		]);
		await membership.recordStop();
		const unfinished = gate.inFlight;
		await owned.dispose();
		events.record(operatorEvents.hostStopped, {unfinished});
	}
}

async function withinLimit(
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
