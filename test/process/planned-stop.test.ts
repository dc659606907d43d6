import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {Agent, request} from 'undici';
import {TestFleet, waitUntil, type TestHost} from './processes.js';
import {
	requestModel,
	expectedText,
	startModelFleet,
	type ModelFleet,
} from './model-fleet.js';
import {askOperator, callerKey} from './test-deployment.js';

const fleet = new TestFleet();
after(async () => fleet.dispose());

let started: ModelFleet;
before(async () => {
	started = await startModelFleet(fleet, {
		engines: 2,
		hosts: 3,
		engineOptions: {firstTokenMilliseconds: 10, betweenTokensMilliseconds: 10},
	});
});

// A load balancer keeps sending until its next health check. Connections opened later would wait in the
// accept queue of a socket that is about to close, where no process can respond to them.
const healthCheckMilliseconds = 1000;

type Load = {
	unreadySince: number | undefined;
	whole: number;
	refused: number;
	readonly faults: string[];
};

/** Sends requests one after another until one health check interval after the host became unready. */
async function keepSending(
	load: Load,
	send: (index: number) => Promise<string | undefined>,
): Promise<void> {
	for (let index = 0; !isUnreadinessDetected(load); index++) {
		try {
			const fault = await send(index);
			if (fault) {
				load.faults.push(fault);
			}
		} catch (error) {
			load.faults.push(String(error));
			return;
		}
	}
}

function isUnreadinessDetected({unreadySince}: Load): boolean {
	return (
		unreadySince !== undefined &&
		performance.now() - unreadySince > healthCheckMilliseconds
	);
}

async function sendStream(
	host: TestHost,
	dispatcher: Agent,
	load: Load,
	prompt: string,
): Promise<string | undefined> {
	const response = await requestModel(host, prompt, {dispatcher});
	if (response.kind === 'whole' && response.text === expectedText(prompt)) {
		load.whole += 1;
		return undefined;
	}

	if (response.code === 'stopping' && response.execution === 'not-run') {
		load.refused += 1;
		return undefined;
	}

	return JSON.stringify(response);
}

async function sendCall(
	host: TestHost,
	dispatcher: Agent,
	load: Load,
	key: string,
): Promise<string | undefined> {
	const response = await request(
		`${host.callers}/services/orders/confirmations`,
		{
			method: 'POST',
			dispatcher,
			headers: {
				authorization: `Bearer ${callerKey}`,
				'content-type': 'application/json',
				'idempotency-key': key,
			},
			body: JSON.stringify({order: `marker=${key}`}),
		},
	);
	const text = await response.body.text();
	if (response.statusCode === 201) {
		load.whole += 1;
		return undefined;
	}

	if (text.includes('"stopping"') && text.includes('"not-run"')) {
		load.refused += 1;
		return undefined;
	}

	return `${response.statusCode} ${text}`;
}

async function readLeaseHolders(host: TestHost): Promise<Array<string | null>> {
	const status = await askOperator(host, 'status');
	return (status.json.leases as Array<{holder: string | null}>).map(
		({holder}) => holder,
	);
}

async function readReadinessStatus(host: TestHost): Promise<number> {
	const response = await request(`${host.operators}/readyz`);
	await response.body.dump();
	return response.statusCode;
}

// This includes requests on connections that a load balancer keeps open.
test('a planned stop under load cuts off no request and hands over the leases', async () => {
	const {stoppingHost, observer} = await waitUntil(
		'a host holds a lease',
		async () => {
			const held = await readLeaseHolders(started.hosts[0]!);
			const holder = started.hosts.find(({name}) => held.includes(name));
			const other = started.hosts.find((host) => host !== holder);
			return holder && other
				? {stoppingHost: holder, observer: other}
				: undefined;
		},
	);
	const load: Load = {
		unreadySince: undefined,
		whole: 0,
		refused: 0,
		faults: [],
	};
	const dispatcher = new Agent({connections: 12, pipelining: 1});
	after(async () => dispatcher.destroy());
	const senders = [
		...Array.from({length: 6}, async (_, sender) =>
			keepSending(load, async (index) =>
				sendStream(
					stoppingHost,
					dispatcher,
					load,
					`stop ${sender} ${index} tokens=${5 + ((sender + index) % 4) * 20}`,
				),
			),
		),
		...Array.from({length: 4}, async (_, sender) =>
			keepSending(load, async (index) =>
				sendCall(stoppingHost, dispatcher, load, `stopping-${sender}-${index}`),
			),
		),
	];
	await waitUntil('the load runs', () => load.whole >= 20);
	let isLongComplete = false;
	const longPrompt = 'long answer tokens=500';
	const longResponse = requestModel(stoppingHost, longPrompt, {
		dispatcher,
		onToken(count) {
			if (count === 10) {
				stoppingHost.process.signal('SIGTERM');
			}
		},
	}).then((response) => {
		isLongComplete = true;
		return response;
	});
	await waitUntil('the host becomes unready', async () => {
		const status = await readReadinessStatus(stoppingHost);
		return status === 503;
	});
	load.unreadySince = performance.now();
	assert.equal(
		isLongComplete,
		false,
		'the host became unready only after the drain',
	);
	const stoppedAt = performance.now();
	await waitUntil('other hosts hold all leases', async () => {
		const held = await readLeaseHolders(observer);
		return held.every(
			(holder) => holder !== null && holder !== stoppingHost.name,
		);
	});
	const takeover = performance.now() - stoppedAt;
	assert.ok(
		takeover < 5000,
		`The takeover took ${takeover} ms, the limit is 5000 ms.`,
	);
	const response = await longResponse;
	assert.equal(response.text, expectedText(longPrompt));
	assert.equal(response.kind, 'whole');
	const exitCode = await stoppingHost.process.waitForExit();
	assert.equal(exitCode, 0);
	await Promise.all(senders);
	assert.deepEqual(load.faults, []);
	assert.ok(load.refused > 0, 'The stopping host refused no request.');
});

// A long response must not prevent the process from being ended.
test('SIGINT ends a stopping host at once, a repeated SIGTERM does not', async () => {
	const host = started.hosts.find(
		({process}) => process.exitCode === undefined,
	)!;
	let hasBegun = false;
	const running = requestModel(host, 'second signal tokens=3000', {
		onToken() {
			hasBegun = true;
		},
	}).catch(() => undefined);
	await waitUntil('the response begins', () => hasBegun);
	host.process.signal('SIGTERM');
	await host.process.json(
		'the host stops',
		({message}) => message === 'host-stopping',
	);
	host.process.signal('SIGTERM');
	await host.process.json(
		'the host logs the repeated signal',
		({message, fields}) =>
			message === 'signal-received' && fields.action === 'none',
	);
	await new Promise((resolve) => {
		setTimeout(resolve, 1000);
	});
	assert.equal(host.process.exitCode, undefined);
	const signalledAt = performance.now();
	host.process.signal('SIGINT');
	const exitCode = await host.process.waitForExit();
	assert.equal(exitCode, 1);
	assert.ok(performance.now() - signalledAt < 5000);
	await running;
});
