import {
	type CustomerName,
	type PoolName,
	type SoftwareVersion,
} from '../../../contracts/ids.js';
import {type PeerResponse} from '../peers/peer-response.js';
import {type CallerResponse} from './caller-response.js';

/** A request as this host received it, from its caller or from another host. */
export type ArrivedRequest = {
	readonly method: string;
	/** Path and query. */
	readonly requestTarget: string;
	/** Alternating names and values. */
	readonly rawHeaders: readonly string[];
	readonly body: Buffer;
	/** Monotonic time at which the first host received the last byte. */
	readonly arrivedAt: number;
	readonly response: CallerResponse;
	/** True when the connection on which the answer is expected has ended. */
	readonly hasCallerLeft: () => boolean;
	/** Calls back once when that connection ends. */
	readonly onCallerLeft: (callback: () => void) => void;
	/** What the host states that forwarded the request. Undefined for requests of callers. */
	readonly origin: PeerOrigin | undefined;
};

/** What a host states when it forwards a request to this one. */
export type PeerOrigin = {
	/** Name of the host. */
	readonly host: string;
	/** Pool that the host picked by the weights of the route. */
	readonly pool: PoolName;
	readonly remainingMilliseconds: number;
	readonly maximumExecutions: number;
	/** Id of the last event that the caller received. */
	readonly lastEventId: number | undefined;
	readonly softwareVersion: SoftwareVersion | undefined;
	/** True when the host has checked the key of the caller. */
	readonly isKeyChecked: boolean;
	/** Customer whose key the host has checked. */
	readonly customer: CustomerName | undefined;
};

/** A request that another host forwarded to this one. */
export type PeerRequest = ArrivedRequest & {
	readonly origin: PeerOrigin;
	readonly response: PeerResponse;
};
