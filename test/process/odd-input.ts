import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import fc from 'fast-check';
import {request} from 'undici';
import {StandInStore} from '../platform/stand-in-store.js';
import {respondWith, StandInWorker} from '../platform/stand-in-worker.js';
import {
	startForwardingHost,
	type ForwardingTestHost,
} from './forwarding-host.js';
import {waitUntil} from './processes.js';

/** Names that are members of objects, empty, long or not in ASCII. */
export const oddNames: readonly string[] = [
	'__proto__',
	'constructor',
	'toString',
	'hasOwnProperty',
	'valueOf',
	'then',
	'',
	' ',
	'*',
	'%00',
	'../..',
	'{}',
	'\u00E9\u00FF\u0080',
	'\uD800',
	'a'.repeat(300),
	'a'.repeat(20_000),
];

/** Texts where a number is expected. */
export const oddNumberTexts: readonly string[] = [
	'',
	'0',
	'-0',
	'-1',
	'0.5',
	'00',
	'+1',
	'1,2',
	'1e400',
	'NaN',
	'Infinity',
	'2147483648',
	'4294967296',
	'9007199254740992',
	'999999999999999',
	'9'.repeat(400),
];

/** Numbers that JSON can hold and that few programs expect. */
export const oddNumbers: readonly number[] = [
	0,
	-1,
	0.5,
	1e-300,
	1e308,
	2 ** 31 - 1,
	2 ** 31,
	2 ** 32,
	2 ** 53,
	-(2 ** 53),
];

/** Seed of the odd input; printed by fast-check with the path of a failure. */
export const seed = 20_261_205;

/** Stalls of the event loop below this time may come from a busy machine. */
const maximumStallMilliseconds = 1000;
/** Answers to a plain request, also on a busy machine. */
const plainRequestMilliseconds = 5000;

/** A host process with a sound worker behind `/x/` and one that may misbehave behind `/odd/`, `/odd-stream/` and `/odd-once/`. */
export class OddInputDeployment {
	readonly store = new StandInStore();
	readonly soundWorker = new StandInWorker('i-sound');
	readonly oddWorker = new StandInWorker('i-odd');
	host!: ForwardingTestHost;
	standardError = '';
	private storeAddress = '';
	private version = 0;
	private requests = 0;

	/** Starts the host, with another program or another way to the store if they are given. */
	async start({
		storeAddress,
		programFile,
		settings,
		maximumDescriptors,
	}: {
		readonly storeAddress?: string;
		readonly programFile?: string;
		/** Settings in addition to the usual ones. */
		readonly settings?: Readonly<Record<string, unknown>>;
		/** Descriptors that the process may have. No limit if absent. */
		readonly maximumDescriptors?: number;
	} = {}): Promise<void> {
		this.storeAddress = await this.store.start();
		this.soundWorker.behaviour = respondWith('served');
		this.putConfiguration();
		await this.list(this.soundWorker, 's');
		await this.list(this.oddWorker, 'odd');
		this.host = await startForwardingHost(
			'h1',
			{store: storeAddress ?? this.storeAddress, ...settings},
			programFile,
			maximumDescriptors,
		);
		this.host.process.child.stderr!.on('data', (data: Buffer) => {
			this.standardError += data.toString('utf8');
		});
		await waitUntil('readiness', () =>
			this.host.process.lines.some((line) =>
				line.includes('"forwarding-ready"'),
			),
		);
	}

	/** Address of the store itself. */
	get address(): string {
		return this.storeAddress;
	}

	stop(): void {
		this.host?.process.child.kill('SIGKILL');
		this.store.stop();
		this.soundWorker.stop();
		this.oddWorker.stop();
	}

	/** Writes the usual configuration with changes, in a new version, which it returns. */
	putConfiguration(change: Readonly<Record<string, unknown>> = {}): number {
		this.version++;
		this.store.put('keyed.op', 'config', {
			...usualConfiguration(),
			version: this.version,
			...change,
		});
		return this.version;
	}

	/** True once the host has put a configuration in force. */
	uses(version: number): boolean {
		return this.host.process.lines.some(
			(line) =>
				line.includes('"document-applied"') &&
				new RegExp(`"version":${version}[,}]`).test(line),
		);
	}

	/** Waits until the host uses a configuration. */
	async waitForConfiguration(version: number): Promise<void> {
		await waitUntil(`configuration ${version} is used`, () =>
			this.uses(version),
		);
	}

	/** Returns the status of a plain request. */
	async plainStatus(): Promise<number> {
		this.requests++;
		const response = await request(
			`http://127.0.0.1:${this.host.ports.callers}/x/y`,
			{
				headers: {host: 'a.example', 'request-id': `plain-${this.requests}`},
				reset: true,
				signal: AbortSignal.timeout(plainRequestMilliseconds),
			},
		);
		await response.body.dump();
		return response.statusCode;
	}

	/** Asserts that the process lives, serves, and reports no error that nothing handled. */
	async assertSound(): Promise<void> {
		const {process: host} = this.host;
		const details = () =>
			`${this.standardError}\n${host.lines.slice(-5).join('\n')}`;
		assert.equal(host.exitCode, undefined, details());
		assert.equal(await this.plainStatus(), 200, details());
		assert.equal(this.standardError, '');
		for (const event of ['"unexpected-error"', '"forwarding-stopped"']) {
			assert.equal(
				host.lines.find((line) => line.includes(event)),
				undefined,
			);
		}

		assert.ok(longestStall(host.lines) < maximumStallMilliseconds);
	}

	private async list(worker: StandInWorker, service: string): Promise<void> {
		this.store.put('keyed.servers', worker.id, {
			service,
			addr: await worker.start(),
			zone: 'z',
			slots: 64,
			state: 'ready',
			born: 1,
		});
	}
}

/** What is written to a socket, and how the socket ends. */
export type RawInput = {
	readonly bytes: string;
	readonly end: 'wait' | 'half-close' | 'close' | 'reset';
};

/** How a socket ends after odd bytes. */
export const anyEnd = fc.constantFrom<RawInput['end']>(
	'wait',
	'half-close',
	'close',
	'reset',
);

/** Time for which the sender of odd bytes waits for an answer. */
const rawWaitMilliseconds = 60;

/** Sends bytes to a port and returns what was received. */
export async function sendRaw(port: number, input: RawInput): Promise<string> {
	return new Promise((resolve) => {
		const socket = connect(port, '127.0.0.1');
		let received = '';
		const finish = () => {
			clearTimeout(timer);
			socket.destroy();
			resolve(received);
		};

		const timer = setTimeout(finish, rawWaitMilliseconds);
		socket.on('error', finish);
		socket.on('close', finish);
		socket.on('data', (data: Buffer) => {
			received += data.toString('latin1');
		});
		socket.write(Buffer.from(input.bytes, 'latin1'), () => {
			endSocket(socket, input.end);
			if (input.end === 'close') {
				finish();
			}
		});
	});
}

/** Ends a socket after odd bytes. */
export function endSocket(socket: Socket, end: RawInput['end']): void {
	switch (end) {
		case 'wait': {
			break;
		}

		case 'half-close': {
			socket.end();
			break;
		}

		case 'close': {
			socket.destroy();
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}
	}
}

/** Any text of a header value. */
export const anyHeaderValue = fc.oneof(
	fc.constantFrom(...oddNames),
	fc.constantFrom(...oddNumberTexts),
	fc.string({maxLength: 40}),
	fc
		.uint8Array({maxLength: 40})
		.map((bytes) => Buffer.from(bytes).toString('latin1')),
);

function longestStall(lines: readonly string[]): number {
	return Math.max(
		0,
		...lines
			.filter((line) => line.includes('"event-loop-stalled"'))
			.map((line) => Number(/"milliseconds":(\d+)/.exec(line)?.[1])),
	);
}

function usualConfiguration(): Readonly<Record<string, unknown>> {
	const route = (name: string, change: Readonly<Record<string, unknown>>) => ({
		name,
		host: 'a.example',
		prefix: `/${name}/`,
		kind: 'idempotent',
		timeout_ms: 1000,
		goal_ms: 300,
		service: 'odd',
		attempts: 2,
		...change,
	});
	return {
		routes: [
			route('x', {service: 's', timeout_ms: 4000}),
			route('odd', {}),
			route('odd-stream', {kind: 'stream', allow_resume: true}),
			route('odd-once', {kind: 'non_idempotent'}),
		],
		services: [
			{name: 's', max_conns: 100},
			{name: 'odd', max_conns: 100},
		],
		limits: {
			header_bytes: 16_384,
			max_body_bytes: 1000,
			header_ms: 3000,
			idle_ms: 15_000,
		},
	};
}

/** The usual routes, services and limits, which a test may extend. */
export const usual = usualConfiguration() as {
	readonly routes: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly services: ReadonlyArray<Readonly<Record<string, unknown>>>;
	readonly limits: Readonly<Record<string, unknown>>;
};
