import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {type CommandResult} from './command-context.js';
import {CommandFailure} from './command-failure.js';
import {type HostPorts, type RunHost} from './running-host.js';

const prompt = 'Hem two curtains.';
const offering = 'drafts';

/** Timeout of the first successful response. The host has to acquire its leases and load the model first, which takes a few seconds. */
const firstResponseTimeoutMilliseconds = 30_000;
/** Pause between attempts. */
const retryMilliseconds = 200;

/** Runs a host with stand-ins for its environment, sends it a streamed request, and returns the text of the response and the commands for further requests. The host keeps running. */
export async function runDemonstration(
	{port}: {readonly port: string},
	runHost: RunHost,
): Promise<CommandResult> {
	const firstPort = Number(port);
	if (!Number.isInteger(firstPort) || firstPort < 0 || firstPort > 65_533) {
		return err(
			new CommandFailure(
				'usage',
				`--port is "${port}", but must be a number from 0 to 65533`,
			),
		);
	}

	// Loaded on demand, since only the demonstration needs the stand-ins.
	const {DemoDeployment, demoCredentials} =
		await import('./demo-deployment.js');
	const deployment = await DemoDeployment.start();
	const submitted = await deployment.submitDocument();
	const started: Result<HostPorts, Error> = submitted.isErr()
		? err(submitted.error)
		: await runHost(deployment.settings(firstPort));
	if (started.isErr()) {
		await deployment.dispose();
		return err(
			new CommandFailure(
				'failure',
				`the demonstration could not start: ${started.error.message}`,
				'Choose other ports with --port.',
				{cause: started.error},
			),
		);
	}

	const {callerKey, operatorToken} = demoCredentials;
	const {callers, operators} = started.value;
	const response = await requestUntilServed(callers, callerKey);
	if (response.isErr()) {
		process.stderr.write(`${response.error.message}\n`);
	}

	return ok(
		[
			'A host runs with stand-ins for the platform, two engines and one service. Ctrl-C ends it.',
			...(response.isOk()
				? [
						'',
						`It responded to "${prompt}" with a stream of this text:`,
						'',
						response.value,
					]
				: []),
			'',
			'Send a request of your own:',
			'',
			`curl -N -H 'Authorization: Bearer ${callerKey}' -H 'Content-Type: application/json' \\`,
			`  -d '{"model":"${offering}","stream":true,"messages":[{"role":"user","content":"${prompt}"}]}' \\`,
			`  http://127.0.0.1:${callers}/v1/chat/completions`,
			'',
			`DAISYLEVER_TOKEN=${operatorToken} node build/src/program/main.js status --url http://127.0.0.1:${operators}`,
		].join('\n'),
	);
}

async function requestUntilServed(
	port: number,
	key: string,
): Promise<Result<string, CommandFailure>> {
	const deadline = performance.now() + firstResponseTimeoutMilliseconds;
	for (;;) {
		const response = await sendRequest(port, key);
		if (response.isOk() || performance.now() > deadline) {
			return response;
		}

		await new Promise((resolve) => {
			setTimeout(resolve, retryMilliseconds);
		});
	}
}

async function sendRequest(
	port: number,
	key: string,
): Promise<Result<string, CommandFailure>> {
	const response = await request(
		`http://127.0.0.1:${port}/v1/chat/completions`,
		{
			method: 'POST',
			headers: {
				authorization: `Bearer ${key}`,
				'content-type': 'application/json',
			},
			body: JSON.stringify({
				model: offering,
				stream: true,
				messages: [{role: 'user', content: prompt}],
			}),
		},
	);
	const text = await response.body.text();
	return response.statusCode === 200 && text.endsWith('data: [DONE]\n\n')
		? ok(joinContent(text))
		: err(
				new CommandFailure(
					'failure',
					`the host did not return a complete stream: ${text}`,
				),
			);
}

/** Payload of one server-sent event of a streamed chat completion. */
type Chunk = {
	readonly choices: ReadonlyArray<{
		readonly delta: {readonly content?: string};
	}>;
};

/** Joins the content of all server-sent events of a chat completion. */
function joinContent(events: string): string {
	return events
		.split('\n\n')
		.filter((event) => event.startsWith('data: {'))
		.map((event) => {
			const chunk = JSON.parse(event.slice('data: '.length)) as Chunk;
			return chunk.choices[0]?.delta.content ?? '';
		})
		.join('');
}
