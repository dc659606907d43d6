import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ConnectRouter} from '@connectrpc/connect';
import {type Clock} from '../../../base/common/clock.js';
import {type ByteBudget} from '../../../core/limits/byte-budget.js';
import {
	type CustomerName,
	type PoolName,
	type SoftwareVersion,
} from '../../../contracts/ids.js';
import {
	PeerForwardingService,
	type ForwardRequest,
} from '../../../generated/daisylever/forwarding/v1/forwarding_pb.js';
import {type PeerRequest} from '../attempts/arrived-request.js';
import {gatherBody} from './gathered-body.js';
import {PeerResponse} from './peer-response.js';

/** Collaborators of the routes for other hosts. */
export type PeerRoutesOptions = {
	readonly clock: Clock;
	/** Serves a request that another host forwarded. */
	readonly serve: (request: PeerRequest) => void;
	/** Limit for the bodies of all requests that are held at once. No limit if absent. */
	readonly requestBudget?: ByteBudget | undefined;
	/** Limit for the bodies of all answers that are held at once. No limit if absent. */
	readonly answerBudget?: ByteBudget | undefined;
};

const memoryReason = 'the host has no memory for the body of the request';
/** Delay after which a request that finds no memory may come back: the bodies of others are held until their answers. */
const memoryRetryMilliseconds = 1000;

/** True for a call by which another host forwards a request, so that the response is an answer to a caller. */
export function isForwardCall({url = ''}: IncomingMessage): boolean {
	return url.startsWith(`/${PeerForwardingService.typeName}/`);
}

/** Limits the body of a call of another host while it arrives. A request whose body is refused has not run. */
export function limitCallBody(
	message: IncomingMessage,
	response: ServerResponse,
	requestBudget: ByteBudget,
): void {
	const held = requestBudget.hold();
	response.once('close', () => {
		held.release();
	});
	gatherBody(message, {
		held,
		refuse() {
			// The calling host, also of an older build, takes 404 for a host that does not know the call: the request has not run.
			response.writeHead(isForwardCall(message) ? 404 : 503, {
				'Content-Length': '0',
				Connection: 'close',
			});
			response.end();
		},
	});
}

/** Adds the call by which other hosts forward requests to this one. */
export function addPeerRoutes(
	router: ConnectRouter,
	{clock, serve, requestBudget, answerBudget}: PeerRoutesOptions,
): void {
	router.service(PeerForwardingService, {
		async *forward(message, {signal}) {
			const response = new PeerResponse(answerBudget);
			const held = requestBudget?.hold();
			try {
				if (held?.tryTake(message.body.length) === false) {
					response.refuseHost(memoryReason, memoryRetryMilliseconds);
				} else {
					serve(toPeerRequest(message, response, clock, signal));
				}

				yield* response.messages(signal);
			} finally {
				held?.release();
			}
		},
	});
}

function toPeerRequest(
	message: ForwardRequest,
	response: PeerResponse,
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
		response,
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
			isKeyChecked: message.isKeyChecked,
			customer: message.customer as CustomerName | undefined,
		},
	};
}
