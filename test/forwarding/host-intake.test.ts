import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {test} from 'node:test';
import {setImmediate as turn} from 'node:timers/promises';
import {create} from '@bufbuild/protobuf';
import {ManualClock} from '../../src/base/common/clock.js';
import {NullMetricRegistry} from '../../src/base/common/metric-registry.js';
import {type FailureDomain, type HostId} from '../../src/contracts/ids.js';
import {HostLoadPolicy} from '../../src/core/admission/host-load-policy.js';
import {HostReadiness} from '../../src/core/admission/host-readiness.js';
import {ReadinessGrants} from '../../src/core/admission/readiness-grants.js';
import {
	ReportRequestSchema,
	ReportResponseSchema,
} from '../../src/generated/daisylever/owner/v1/owner_pb.js';
import {PlatformRequestCodec} from '../../src/platform/request-codec.js';
import {headerNames} from '../../src/platform/wire.js';
import {type ReceivedRequest} from '../../src/services/forwarding/forwarding-server.js';
import {
	HostIntake,
	RefusingRequestHandler,
} from '../../src/services/forwarding/limits/host-intake.js';
import {HostLoadReports} from '../../src/services/forwarding/limits/host-load-reports.js';
import {forwardingDocument} from './forwarding-harness.js';

/** Keeps the ids of the requests that are handled and refused. */
class RecordingHandler extends RefusingRequestHandler {
	readonly handled: string[] = [];
	readonly refused: Array<{id: string; retryMilliseconds: number}> = [];

	handle({message}: ReceivedRequest): void {
		this.handled.push(message.rawHeaders[1]!);
	}

	refuseForLoad(
		message: IncomingMessage,
		_response: ServerResponse,
		retryMilliseconds: number,
	): void {
		this.refused.push({id: message.rawHeaders[1]!, retryMilliseconds});
	}

	reject(): void {
		assert.fail('the request is valid');
	}

	refuseForMemory(): void {
		assert.fail('there is memory');
	}
}

function createIntake() {
	const clock = new ManualClock();
	const handler = new RecordingHandler();
	const policy = new HostLoadPolicy({clock, processorShare: 0.1});
	const intake = new HostIntake({
		clock,
		metrics: new NullMetricRegistry(),
		policy,
		handler: () => handler,
		codec: new PlatformRequestCodec(),
		document: () => ({
			...forwardingDocument,
			routes: forwardingDocument.routes.map((route) => ({
				...route,
				priority: route.pathPrefix === '/once/' ? 2 : 1,
			})),
		}),
	});
	const responses: EventEmitter[] = [];
	const send = (id: string, url: string, lastEventId?: string) => {
		const rawHeaders = [headerNames.requestId, id];
		if (lastEventId !== undefined) {
			rawHeaders.push(headerNames.lastEventId, lastEventId);
		}

		const response = Object.assign(new EventEmitter(), {closed: false});
		responses.push(response);
		intake.handle({
			message: {url, rawHeaders, headers: {host: 'a.example'}},
			response,
			body: Buffer.alloc(0),
		} as unknown as ReceivedRequest);
	};

	return {clock, handler, policy, intake, responses, send};
}

/** Samples of a host whose event loop is late and whose processor is in use. */
function overload(policy: HostLoadPolicy): void {
	for (let sample = 0; sample < 2; sample++) {
		policy.record({
			elapsedMilliseconds: 250,
			delayMilliseconds: 400,
			usedMilliseconds: 25,
			startedRequests: 0,
			hasUnmetDemand: true,
		});
	}
}

// Guards against a changed order or time of the requests on hosts whose processor suffices.
test('without a limit, each request is handled at once and in its order', () => {
	const {handler, send, intake} = createIntake();
	for (const id of ['a', 'b', 'c']) {
		intake.recordAccepted();
		send(id, id === 'b' ? '/idempotent/x' : '/once/x');
		assert.equal(handler.handled.at(-1), id);
	}

	assert.deepEqual(handler.refused, []);
});

// Guards against refusals of urgent requests before less urgent ones, of streams that have begun, and of what was sent.
test('under a limit, the rests of streams and urgent requests go first, and the others are refused as not run', async () => {
	const {clock, handler, policy, send, intake} = createIntake();
	overload(policy);
	for (let each = 0; each < 6; each++) {
		send(`less-${each}`, '/once/x');
	}

	send('urgent', '/idempotent/x');
	send('rest', '/stream/x', '7');
	for (let step = 0; step < 60 && intake.waitingRequests > 0; step++) {
		clock.advance(10);
		await turn();
		// Without room, requests are looked at again by a timer.
		await new Promise((resolve) => {
			setTimeout(resolve, 12);
		});
	}

	assert.deepEqual(handler.handled.slice(0, 2), ['rest', 'urgent']);
	assert.ok(handler.handled.length > 2, 'less urgent requests are served');
	assert.ok(handler.refused.length > 0);
	assert.equal(handler.handled.length + handler.refused.length, 8);
	for (const {id, retryMilliseconds} of handler.refused) {
		assert.match(id, /^less/);
		assert.ok(retryMilliseconds > 0 && retryMilliseconds <= 4000);
	}
});

// Guards against requests that are held, with their bodies, after their clients have left. Node.js does not mark a response as closed that never had the connection.
test('requests whose clients have left are held no more', () => {
	const {handler, policy, intake, responses, send} = createIntake();
	overload(policy);
	for (let each = 0; each < 100; each++) {
		send(`left-${each}`, '/once/x');
	}

	try {
		assert.ok(intake.heldRequests > 50);
		for (const response of responses) {
			response.emit('close');
		}

		assert.equal(intake.heldRequests, 0);
	} finally {
		// The intake looks at requests that wait again and again.
		intake.passAll();
	}

	assert.deepEqual(
		[...handler.handled, ...handler.refused.map(({id}) => id)],
		[],
	);
});

// Guards against requests that are neither answered nor refused when the host stops.
test('a stopping host passes on what waits', () => {
	const {handler, policy, send, intake} = createIntake();
	overload(policy);
	for (const id of ['a', 'b', 'c']) {
		send(id, '/once/x');
	}

	intake.passAll();
	send('d', '/once/x');
	assert.deepEqual(handler.handled.sort(), ['a', 'b', 'c', 'd']);
});

// Guards against permissions that do not pass a relay, that outlive their time, and against builds without the fields.
test('a permission of the owner reaches a host behind a relay, and a host without word keeps ready', () => {
	const clock = new ManualClock();
	const createHost = (name: string, isOwner: boolean) => {
		const readiness = new HostReadiness({clock});
		const reports = new HostLoadReports({
			host: name as HostId,
			failureDomain: 'z' as FailureDomain,
			clock,
			policy: new HostLoadPolicy({clock, processorShare: 0.1}),
			readiness,
			grants: new ReadinessGrants({clock}),
			isServing: () => true,
			isOwner: () => isOwner,
		});
		return {readiness, reports};
	};

	const owner = createHost('owner', true);
	const relay = createHost('relay', false);
	const hosts = ['h1', 'h2'].map((name) => createHost(name, false));
	const report = (from: typeof relay, to: typeof relay, age: number) => {
		const request = create(ReportRequestSchema, from.reports.requestFields());
		to.reports.handleRequest(request);
		const response = create(
			ReportResponseSchema,
			to.reports.responseFields(request),
		);
		from.reports.handleResponse(response, {address: '', ageMilliseconds: age});
	};

	let isConnected = false;
	for (let elapsed = 0; elapsed < 60_000; elapsed += 250) {
		clock.advance(250);
		isConnected = elapsed > 40_000;
		owner.reports.reportLocally();
		// Without the fields, as from an earlier build.
		owner.reports.handleRequest(create(ReportRequestSchema));
		if (isConnected) {
			report(hosts[0]!, relay, 40);
			report(hosts[1]!, relay, 40);
			report(relay, owner, 40);
		}

		for (const {readiness} of hosts) {
			readiness.record(true, false);
		}

		const away = hosts.filter(({readiness}) => !readiness.isReady);
		assert.ok(away.length <= (isConnected ? 1 : 0));
		if (away.length > 0) {
			return;
		}
	}

	assert.fail('no host was permitted to be not ready');
});
