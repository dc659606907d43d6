import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerForwardingService} from '../../src/generated/daisylever/forwarding/v1/forwarding_pb.js';
import {
	ClientCrowd,
	sendWhole,
	type ClientKind,
	type WholeRequest,
} from './client-crowd.js';
import {OddInputDeployment, usual} from './odd-input.js';
import {
	countedMegabytes,
	descriptorCount,
	processorMilliseconds,
	waitUntil,
} from './processes.js';

const bodyBytes = 4_000_000;
const memoryMegabytes = 350;
/** Descriptors that the process may have. */
const maximumDescriptors = 300;
const sampleMilliseconds = 100;

const head = (id: string) =>
	`POST /x/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const peerHead = [
	`POST /${PeerForwardingService.typeName}/Forward HTTP/1.1`,
	'Host: a.example',
	'Content-Type: application/connect+proto',
	'Connect-Protocol-Version: 1',
	'Transfer-Encoding: chunked',
	'\r\n',
].join('\r\n');
const oneByteChunk = '1\r\nx\r\n';
const mixedChunks = Buffer.from(
	`7530\r\n${'x'.repeat(30_000)}\r\n${oneByteChunk}`,
);
const lastChunk = Buffer.from('0\r\n\r\n');

/** A whole request with a body in one-byte chunks. */
const inOneByteChunks = (id: string, payloadBytes: number): WholeRequest => ({
	head: head(id),
	parts: [Buffer.from(oneByteChunk.repeat(payloadBytes)), lastChunk],
});

/** A whole request with a body in chunks of 30,000 bytes and of one byte by turns. */
const inMixedChunks = (id: string, pairs: number): WholeRequest => ({
	head: head(id),
	parts: [...Array.from({length: pairs}, () => mixedChunks), lastChunk],
});

class CrowdedHost {
	readonly deployment = new OddInputDeployment();
	private crowd: ClientCrowd | undefined;
	private peakMegabytes = 0;
	private peakDescriptors = 0;
	private sampler: NodeJS.Timeout | undefined;

	async start(
		clients: Readonly<Record<string, number>> = {},
		megabytes = memoryMegabytes,
	): Promise<void> {
		const {deployment} = this;
		await deployment.start({
			settings: {machine: {memoryMegabytes: megabytes}, clients},
			maximumDescriptors,
		});
		await deployment.waitForConfiguration(
			deployment.putConfiguration({
				limits: {...usual.limits, max_body_bytes: bodyBytes},
			}),
		);
		this.sampler = setInterval(() => {
			this.sample();
		}, sampleMilliseconds);
	}

	get port(): number {
		return this.deployment.host.ports.callers!;
	}

	/** Lets a crowd send for a time. It stays connected. */
	async expose(
		kind: ClientKind,
		count: number,
		milliseconds: number,
	): Promise<ClientCrowd> {
		this.crowd = new ClientCrowd(this.deployment.host.ports, [kind], count);
		await new Promise((resolve) => {
			setTimeout(resolve, milliseconds);
		});
		this.assertAlive();
		return this.crowd;
	}

	/** Waits until a request is served. A refusal is followed by another attempt. */
	async waitUntilServed(
		description: string,
		request: (id: string) => WholeRequest,
	): Promise<void> {
		let attempts = 0;
		let isServed = false;
		const attempt = async () => {
			while (!isServed && this.sampler) {
				attempts++;
				const status = await sendWhole(this.port, request(`whole-${attempts}`));
				isServed = status === 200;
				await new Promise((resolve) => {
					setTimeout(resolve, 200);
				});
			}
		};

		void attempt();
		await waitUntil(description, () => isServed);
		console.log(`${description}, attempt ${attempts}`);
	}

	assertAlive(): void {
		const {host, standardError} = this.deployment;
		assert.equal(host.process.exitCode, undefined, standardError);
	}

	assertWithinBounds(megabytes = memoryMegabytes): void {
		this.assertAlive();
		assert.equal(this.deployment.standardError, '');
		console.log(
			`memory ${Math.round(this.peakMegabytes)} MB of ${megabytes} with bytes that are not read, ${this.peakDescriptors} descriptors`,
		);
		assert.ok(this.peakMegabytes < megabytes, `${this.peakMegabytes} MB`);
		assert.ok(this.peakDescriptors < maximumDescriptors);
	}

	stop(): void {
		clearInterval(this.sampler);
		this.sampler = undefined;
		this.crowd?.end();
		this.deployment.stop();
	}

	private sample(): void {
		const {process} = this.deployment.host;
		if (process.exitCode === undefined) {
			this.peakMegabytes = Math.max(
				this.peakMegabytes,
				countedMegabytes(process),
			);
			this.peakDescriptors = Math.max(
				this.peakDescriptors,
				descriptorCount(process),
			);
		}
	}
}

async function withHost(use: (host: CrowdedHost) => Promise<void>) {
	const host = new CrowdedHost();
	try {
		await use(host);
	} finally {
		host.stop();
	}
}

/** Clients that send bodies in one-byte chunks, and the payload of each. */
const fragmentingClients = 200;
const fragmentedBytes = 200_000;
/** Share of the time that parsing all bodies of a crowd takes, which the process may spend on them once the crowd has left. */
const remainingShare = 0.1;

// Guards against a host that goes on to parse for a minute what clients have sent that are gone.
test('a host is calm after a crowd of clients that sent bodies in one-byte chunks has left', async () => {
	await withHost(async (host) => {
		await host.start();
		const {process: child} = host.deployment.host;
		// The first body warms the process up, the second one is the measure.
		const payloadBytes = 100_000;
		await host.waitUntilServed('a first body is served', (id) =>
			inOneByteChunks(`first-${id}`, payloadBytes),
		);
		const measuredFrom = processorMilliseconds(child);
		await host.waitUntilServed('a body is served before the crowd', (id) =>
			inOneByteChunks(`before-${id}`, payloadBytes),
		);
		const bodyMilliseconds = processorMilliseconds(child) - measuredFrom;
		const descriptors = descriptorCount(child);
		const crowd = await host.expose(
			{
				port: 'callers',
				first: head('crowd'),
				rest: Buffer.from(oneByteChunk.repeat(fragmentedBytes / 20)),
				repetitions: 20,
			},
			fragmentingClients,
			5000,
		);
		crowd.end();
		const leftAt = processorMilliseconds(child);
		await waitUntil(
			'the connections of the crowd are closed',
			() => descriptorCount(child) <= descriptors + 2,
		);
		const milliseconds = processorMilliseconds(child) - leftAt;
		await host.waitUntilServed('a body is served after the crowd', (id) =>
			inOneByteChunks(`after-${id}`, payloadBytes),
		);
		const allMilliseconds =
			(bodyMilliseconds * fragmentingClients * fragmentedBytes) / payloadBytes;
		console.log(
			`${milliseconds} ms of processor time after the crowd, ${allMilliseconds} ms for all its bodies`,
		);
		assert.ok(milliseconds < allMilliseconds * remainingShare);
		host.assertWithinBounds();
	});
});

// Guards against clients that stop before the end of a large body and so take the memory from all other large bodies.
test('a host serves a large body beside and after clients that stop before the ends of theirs', async () => {
	await withHost(async (host) => {
		await host.start({heldMegabytes: 20});
		const crowd = await host.expose(
			{
				port: 'callers',
				first: head('crowd'),
				rest: mixedChunks,
				repetitions: 130,
			},
			120,
			3000,
		);
		await host.waitUntilServed(
			'a large body is served beside the crowd',
			(id) => inMixedChunks(`beside-${id}`, 130),
		);
		crowd.end();
		await host.waitUntilServed('a large body is served after the crowd', (id) =>
			inMixedChunks(`after-${id}`, 130),
		);
		host.assertWithinBounds();
	});
});

/** Memory of the smallest machines. */
const smallMegabytes = 160;

// Guards against a process that the platform of a small machine ends for its memory, to which bytes count that are not read.
for (const port of ['callers', 'peers'] as const) {
	test(`a host stays within the memory of a small machine beside clients that stop before the ends of large bodies: ${port}`, async () => {
		await withHost(async (host) => {
			await host.start({}, smallMegabytes);
			const crowd = await host.expose(
				{
					port,
					first: `${port === 'callers' ? head('crowd') : peerHead}${bodyBytes.toString(16)}\r\n`,
					rest: Buffer.alloc(bodyBytes - 10),
					repetitions: 1,
				},
				120,
				6000,
			);
			await host.waitUntilServed(
				'a small body is served beside the crowd',
				(id) => inOneByteChunks(`beside-${id}`, 10),
			);
			crowd.end();
			await host.waitUntilServed(
				'a small body is served after the crowd',
				(id) => inOneByteChunks(`after-${id}`, 10),
			);
			host.assertWithinBounds(smallMegabytes);
		});
	});
}
