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

// A balancer sends on until its next health check. Connections opened after that would wait in the accept queue of a socket about to close, where no process can answer them.
const healthCheckMilliseconds = 1000;

type Load = {
	unreadySince: number | undefined;
	whole: number;
	refused: number;
	readonly faults: string[];
};

/** Sends one request after the other, until a health check after readiness went off. */
async function keepSending(
	load: Load,
	send: (index: number) => Promise<string | undefined>,
): Promise<void> {
	for (let index = 0; !isNoticed(load); index++) {
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

function isNoticed({unreadySince}: Load): boolean {
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
	const answer = await requestModel(host, prompt, {dispatcher});
	if (answer.kind === 'whole' && answer.text === expectedText(prompt)) {
		load.whole += 1;
		return undefined;
	}

	if (answer.code === 'stopping' && answer.execution === 'not-run') {
		load.refused += 1;
		return undefined;
	}

	return JSON.stringify(answer);
}

async function sendCall(
	host: TestHost,
	dispatcher: Agent,
	load: Load,
	key: string,
): Promise<string | undefined> {
	const answer = await request(
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
	const text = await answer.body.text();
	if (answer.statusCode === 201) {
		load.whole += 1;
		return undefined;
	}

	if (text.includes('"stopping"') && text.includes('"not-run"')) {
		load.refused += 1;
		return undefined;
	}

	return `${answer.statusCode} ${text}`;
}

async function holders(host: TestHost): Promise<Array<string | null>> {
	const status = await askOperator(host, 'status');
	return (status.json.leases as Array<{holder: string | null}>).map(
		({holder}) => holder,
	);
}

async function readiness(host: TestHost): Promise<number> {
	const answer = await request(`${host.operators}/readyz`);
	await answer.body.dump();
	return answer.statusCode;
}

// Guards against requests cut by a planned stop, those on connections that a balancer keeps open included.
test('a planned stop under load cuts no request and hands the leases over', async () => {
	const {leaver, observer} = await waitUntil(
		'a host holds a lease',
		async () => {
			const held = await holders(started.hosts[0]!);
			const holder = started.hosts.find(({name}) => held.includes(name));
			const other = started.hosts.find((host) => host !== holder);
			return holder && other ? {leaver: holder, observer: other} : undefined;
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
					leaver,
					dispatcher,
					load,
					`stop ${sender} ${index} tokens=${5 + ((sender + index) % 4) * 20}`,
				),
			),
		),
		...Array.from({length: 4}, async (_, sender) =>
			keepSending(load, async (index) =>
				sendCall(leaver, dispatcher, load, `stopping-${sender}-${index}`),
			),
		),
	];
	await waitUntil('the load runs', () => load.whole >= 20);
	let isLongWhole = false;
	const long = 'long answer tokens=500';
	const longAnswer = requestModel(leaver, long, {
		dispatcher,
		onToken(count) {
			if (count === 10) {
				leaver.process.signal('SIGTERM');
			}
		},
	}).then((answer) => {
		isLongWhole = true;
		return answer;
	});
	await waitUntil('readiness goes off', async () => {
		const status = await readiness(leaver);
		return status === 503;
	});
	load.unreadySince = performance.now();
	assert.equal(isLongWhole, false, 'readiness went off only after the drain');
	const stoppedAt = performance.now();
	await waitUntil('other hosts hold all leases', async () => {
		const held = await holders(observer);
		return held.every((holder) => holder !== null && holder !== leaver.name);
	});
	const takeover = performance.now() - stoppedAt;
	assert.ok(takeover < 5000, `the takeover took ${takeover} ms`);
	const answer = await longAnswer;
	assert.equal(answer.text, expectedText(long));
	assert.equal(answer.kind, 'whole');
	const exitCode = await leaver.process.waitForExit();
	assert.equal(exitCode, 0);
	await Promise.all(senders);
	assert.deepEqual(load.faults, []);
	assert.ok(load.refused > 0, 'no request met the stopping host');
});

// Guards against a host that can't be ended while a long answer runs.
test('a second signal ends a stopping host at once', async () => {
	const host = started.hosts.find(
		({process}) => process.exitCode === undefined,
	)!;
	let hasBegun = false;
	const running = requestModel(host, 'second signal tokens=3000', {
		onToken() {
			hasBegun = true;
		},
	}).catch(() => undefined);
	await waitUntil('the answer begins', () => hasBegun);
	host.process.signal('SIGTERM');
	await host.process.json(
		'the host stops',
		({message}) => message === 'host-stopping',
	);
	const signalledAt = performance.now();
	host.process.signal('SIGTERM');
	const exitCode = await host.process.waitForExit();
	assert.equal(exitCode, 1);
	assert.ok(performance.now() - signalledAt < 5000);
	await running;
});
