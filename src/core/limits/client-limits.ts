/** What the operators set for clients. What is absent follows from the machine. */
export type ClientSettings = {
	readonly connections?: number | null | undefined;
	readonly peerConnections?: number | null | undefined;
	readonly heldMegabytes?: number | null | undefined;
	readonly requestsPerConnection: number;
	readonly fragmentedBodies: number;
	readonly bodySeconds?: number | null | undefined;
	readonly bytesPerSecond?: number | null | undefined;
	readonly stalledSeconds: number;
	readonly unreadSeconds: number;
};

/** What the machine offers the process. */
export type MachineResources = {
	readonly memoryBytes: number;
	/** File descriptors that the process may have open. */
	readonly descriptors: number;
};

/** Limits for clients that the operators do not control: callers, and whatever reaches the port for other hosts. */
export type ClientLimits = {
	/** Open connections of callers. */
	readonly connections: number;
	/** Open connections of other hosts. */
	readonly peerConnections: number;
	/** Bytes that are held for all clients and targets together. */
	readonly heldBytes: number;
	/** Requests on one connection that were read and have no whole response. */
	readonly requestsPerConnection: number;
	/** Bodies in small chunks that may wait to be parsed at once. */
	readonly fragmentedBodies: number;
	/** Time for the end of a body. Infinite if there is no limit. */
	readonly bodyMilliseconds: number;
	/** Mean rate of a body, from its start. 0 if there is no limit. */
	readonly bytesPerSecond: number;
	/** Time without progress from which a body may be ended while others need the memory. */
	readonly stalledMilliseconds: number;
	/** Time in which a client that has a response to read must read some of it. */
	readonly unreadMilliseconds: number;
};

const bytesPerMegabyte = 1_000_000;
/** Memory that a process without load and its garbage take. */
const processBytes = 105 * bytesPerMegabyte;
/** Share of the memory of the machine that the process is to stay within. */
const memoryShare = 0.8;
/** Memory that a held byte costs: bodies are copied once, and buffers outlive their use until the next garbage collection. */
const costOfByte = 2;
/** Two bodies of the largest size that the document allows by default. */
const minimumHeldBytes = 10 * bytesPerMegabyte;
/** What a connection counts among the bytes that are held: its socket, parser and buffers. */
export const connectionBytes = 8192;
/** Connections may hold at most this part of the bytes. */
const connectionShare = 0.5;
/** More connections cost a small machine more than they serve. */
const maximumConnections = 3000;
const maximumPeerConnections = 512;
/** Shares of the descriptors. The rest is for targets, of which each open request needs one, for the store and for calls to other hosts. */
const callerDescriptorShare = 0.35;
const peerDescriptorShare = 0.1;
/** Where there are many, callers may have all but these. */
const reservedDescriptors = 600;
/** Age of a body from which its mean rate counts, so that a pause within the idle time of the document does not. */
const rateGraceMilliseconds = 20_000;

/** Derives the limits from the machine where the settings name none. */
export function clientLimits(
	settings: ClientSettings,
	{memoryBytes, descriptors}: MachineResources,
): ClientLimits {
	const heldBytes = settings.heldMegabytes
		? settings.heldMegabytes * bytesPerMegabyte
		: Math.max(
				minimumHeldBytes,
				(memoryBytes * memoryShare - processBytes) / costOfByte,
			);
	const connectionsInMemory = Math.floor(
		(heldBytes * connectionShare) / connectionBytes,
	);
	return {
		connections:
			settings.connections ??
			Math.min(
				maximumConnections,
				connectionsInMemory,
				Math.max(
					Math.floor(descriptors * callerDescriptorShare),
					descriptors - reservedDescriptors,
				),
			),
		peerConnections:
			settings.peerConnections ??
			Math.min(
				maximumPeerConnections,
				connectionsInMemory,
				Math.floor(descriptors * peerDescriptorShare),
			),
		heldBytes,
		requestsPerConnection: settings.requestsPerConnection,
		fragmentedBodies: settings.fragmentedBodies,
		bodyMilliseconds: settings.bodySeconds
			? settings.bodySeconds * 1000
			: Number.POSITIVE_INFINITY,
		bytesPerSecond: settings.bytesPerSecond ?? 0,
		stalledMilliseconds: settings.stalledSeconds * 1000,
		unreadMilliseconds: settings.unreadSeconds * 1000,
	};
}

/** True for a body that has taken too long, or comes so slowly that it would. */
export function isBodyTooSlow(
	{bodyMilliseconds, bytesPerSecond}: ClientLimits,
	receivedBytes: number,
	milliseconds: number,
): boolean {
	return (
		milliseconds > bodyMilliseconds ||
		(milliseconds > rateGraceMilliseconds &&
			(receivedBytes * 1000) / milliseconds < bytesPerSecond)
	);
}
