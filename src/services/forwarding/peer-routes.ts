import {type ConnectRouter} from '@connectrpc/connect';
import {type Clock} from '../../base/common/clock.js';
import {type PoolName, type SoftwareVersion} from '../../contracts/ids.js';
import {
	PeerForwardingService,
	type ForwardRequest,
} from '../../generated/daisylever/forwarding/v1/forwarding_pb.js';
import {type PeerRequest} from './arrived-request.js';
import {PeerResponse} from './peer-response.js';

/** Collaborators of the routes for other hosts. */
export type PeerRoutesOptions = {
	readonly clock: Clock;
	/** Serves a request that another host forwarded. */
	readonly serve: (request: PeerRequest) => void;
};

/** Adds the call by which other hosts forward requests to this one. */
export function addPeerRoutes(
	router: ConnectRouter,
	{clock, serve}: PeerRoutesOptions,
): void {
	router.service(PeerForwardingService, {
		async *forward(message, {signal}) {
			const request = toPeerRequest(message, clock, signal);
			serve(request);
			yield* request.response.messages(signal);
		},
	});
}

function toPeerRequest(
	message: ForwardRequest,
	clock: Clock,
	signal: AbortSignal,
): PeerRequest {
	const {body} = message;
	return {
		method: message.method,
		requestTarget: message.requestTarget,
		rawHeaders: message.rawHeaders,
		body: Buffer.from(body.buffer, body.byteOffset, body.byteLength),
		arrivedAt: clock.monotonic() - message.ageMilliseconds,
		response: new PeerResponse(),
		hasCallerLeft: () => signal.aborted,
		onCallerLeft(callback) {
			signal.addEventListener('abort', callback, {once: true});
		},
		origin: {
			host: message.host,
			pool: message.pool as PoolName,
			remainingMilliseconds: message.remainingMilliseconds,
			maximumExecutions: message.maximumExecutions,
			lastEventId:
				message.lastEventId === undefined
					? undefined
					: Number(message.lastEventId),
			softwareVersion: message.softwareVersion as SoftwareVersion | undefined,
		},
	};
}
