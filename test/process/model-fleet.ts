import {request} from 'undici';
import {expectedResponse} from '../../src/stand-ins/response-generator.js';
import {
	send,
	waitUntil,
	type TestFleet,
	type TestHost,
	type TestStandIn,
} from './processes.js';
import {
	callerKey,
	hostSettings,
	startPlatform,
	submitDocument,
	testDocument,
	type TestPlatform,
	type TestTargets,
} from './test-deployment.js';

const failureDomains = ['palermo', 'catania', 'messina'];

/** A stand-in engine with its target id in the document. */
export type TestEngine = TestStandIn & {readonly id: string};

/** The processes of a small fleet that serves the offering `measure`. */
export type ModelFleet = {
	readonly platform: TestPlatform;
	readonly engines: readonly TestEngine[];
	readonly services: TestTargets['services'];
	readonly hosts: readonly TestHost[];
	readonly targets: TestTargets;
};

/** Starts the platform, engines and hosts, and waits until each host serves the model and two engines hold it. */
export async function startModelFleet(
	fleet: TestFleet,
	size: {
		readonly engines: number;
		readonly hosts: number;
		readonly engineOptions?: Record<string, unknown>;
		readonly documentChanges?: Record<string, unknown>;
	},
): Promise<ModelFleet> {
	const platform = await startPlatform(fleet);
	const engines = await Promise.all(
		Array.from({length: size.engines}, async (_, index) => {
			const id = `sarto-${index + 1}`;
			const standIn = await fleet.standIn('engine', {
				target: id,
				memoryBytes: 1_000_000,
				slots: 8,
				artifacts: [{key: 'model/hem-base@1', bytes: 400_000}],
				...size.engineOptions,
			});
			return {...standIn, id};
		}),
	);
	const service = await fleet.standIn('service');
	const hosts = await Promise.all(
		Array.from({length: size.hosts}, async (_, index) => {
			const name = `entry-${index + 1}`;
			return fleet.host(
				name,
				hostSettings(platform, name, failureDomainOf(index)),
			);
		}),
	);
	const targets: TestTargets = {
		engines: engines.map(({id, address}, index) => ({
			id,
			address,
			failureDomain: failureDomainOf(index),
		})),
		services: [
			{
				id: 'ordini-1',
				address: service.address,
				failureDomain: failureDomainOf(0),
			},
		],
	};
	const submitted = await submitDocument(
		hosts[0]!,
		testDocument(targets, size.documentChanges),
		0,
	);
	if (submitted.status !== 200) {
		throw new Error(`The host refused the document: ${submitted.text}`);
	}

	const modelFleet = {
		platform,
		engines,
		services: targets.services,
		hosts,
		targets,
	};
	await Promise.all(
		hosts.map(async (host) =>
			waitUntil(`${host.name} serves`, async () => {
				const response = await requestModel(host, `warm-up of ${host.name}`);
				return response.kind === 'whole' ? response : undefined;
			}),
		),
	);
	// Placement can remove the model from further engines while demand is low.
	await waitUntil('two engines hold the model', async () => {
		const reports = await Promise.all(
			engines.map(async (engine) => statistics(engine)),
		);
		const reportsWithModel = reports.filter(({report}) =>
			report.artifacts.some(
				(artifact: {key: string; state: string}) =>
					artifact.key.startsWith('model/hem-base') &&
					artifact.state === 'resident',
			),
		);
		return reportsWithModel.length >= Math.min(2, engines.length);
	});
	return modelFleet;
}

/**
 * The response that a caller received: `whole` is a complete response, `refused` an error before the
 * first token, `broken` a part of a response followed by an error.
 */
export type ModelResponse = {
	readonly kind: 'whole' | 'refused' | 'broken';
	readonly text: string;
	readonly code?: string;
	readonly execution?: string;
};

/** Sends a streaming model request and reads the response to its end. */
export async function requestModel(
	host: Pick<TestHost, 'callers'>,
	prompt: string,
	options: {
		readonly onToken?: (count: number) => void;
		/** Content of a message before the prompt. */
		readonly system?: string;
		readonly dispatcher?: NonNullable<
			Parameters<typeof request>[1]
		>['dispatcher'];
	} = {},
): Promise<ModelResponse> {
	const response = await request(`${host.callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${callerKey}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify({
			model: 'measure',
			stream: true,
			messages: [
				...(options.system === undefined
					? []
					: [{role: 'system', content: options.system}]),
				{role: 'user', content: prompt},
			],
		}),
		headersTimeout: 60_000,
		bodyTimeout: 60_000,
		...(options.dispatcher ? {dispatcher: options.dispatcher} : {}),
	});
	if (response.statusCode !== 200) {
		const problem = (await response.body.json()) as Record<string, string>;
		return {
			kind: 'refused',
			text: '',
			code: String(problem.code),
			execution: String(problem.execution),
		};
	}

	const decoder = new TextDecoder();
	let buffer = '';
	let text = '';
	let tokenCount = 0;
	let isComplete = false;
	let problem: Record<string, string> | undefined;
	for await (const chunk of response.body) {
		buffer += decoder.decode(chunk as Uint8Array, {stream: true});
		const events = buffer.split('\n\n');
		buffer = events.pop() ?? '';
		for (const event of events) {
			const data = event.replace(/^data: /, '');
			if (data === '[DONE]') {
				isComplete = true;
				continue;
			}

			const value = JSON.parse(data) as Record<string, any>;
			if (!value.choices) {
				problem = value.error ?? value;
				continue;
			}

			const content = String(value.choices[0]?.delta?.content ?? '');
			if (content) {
				text += content;
				tokenCount += 1;
				options.onToken?.(tokenCount);
			}
		}
	}

	return isComplete
		? {kind: 'whole', text}
		: {
				kind: 'broken',
				text,
				code: problem?.code,
				execution: problem?.execution,
			};
}

/** Returns the text that a caller must receive for a prompt. */
export function expectedText(prompt: string): string {
	return expectedResponse({
		model: 'hem-base' as Parameters<typeof expectedResponse>[0]['model'],
		adapter: undefined,
		messages: [{role: 'user', content: prompt}],
		maximumTokens: 1_000_000,
	}).tokens.join('');
}

/** Reads the statistics of a stand-in. */
export async function statistics(
	standIn: TestStandIn,
): Promise<Record<string, any>> {
	return controlStandIn(standIn, 'GET', 'statistics');
}

/** Returns the engine that runs the most generations, or undefined when all engines are idle. */
export async function busiestEngine(
	engines: readonly TestEngine[],
): Promise<TestEngine | undefined> {
	const reports = await Promise.all(
		engines.map(async (engine) => statistics(engine)),
	);
	const counts = reports.map(({report}) => Number(report.running));
	const highest = Math.max(...counts);
	return highest > 0 ? engines[counts.indexOf(highest)] : undefined;
}

/** Replaces the given faults of a stand-in and keeps the others. */
export async function setFaults(
	standIn: TestStandIn,
	faults: Record<string, unknown>,
): Promise<void> {
	await controlStandIn(standIn, 'PUT', 'faults', faults);
}

/**
 * Calls the control endpoint of a stand-in over a new connection, because the test may have silenced
 * existing ones. Throws when the status is not 200.
 */
export async function controlStandIn(
	standIn: TestStandIn,
	method: 'GET' | 'POST' | 'PUT',
	path: string,
	body?: unknown,
): Promise<Record<string, any>> {
	const response = await request(`${standIn.address}/stand-in/${path}`, {
		method,
		reset: true,
		...(body === undefined
			? {}
			: {
					headers: {'content-type': 'application/json'},
					body: JSON.stringify(body),
				}),
	});
	const text = await response.body.text();
	if (response.statusCode !== 200) {
		throw new Error(
			`The stand-in refused the control request ${path}: ${text}`,
		);
	}

	return JSON.parse(text) as Record<string, any>;
}

/** Reads all records of the control stream, including those that hosts ignore, from the log stand-in. */
export async function controlRecords(
	platform: TestPlatform,
): Promise<Array<Record<string, any>>> {
	const response = await send(
		'GET',
		`${platform.log.address}/streams/control/records?from=0&limit=100000`,
	);
	return (response.json.records as Array<{body: Record<string, any>}>).map(
		({body}) => body,
	);
}

function failureDomainOf(index: number): string {
	return failureDomains[index % failureDomains.length]!;
}
