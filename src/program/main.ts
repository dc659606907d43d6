import process from 'node:process';
import {type RunForwardingHost} from './forwarding-commands.js';
import {type RunHost} from './running-host.js';
import {processSignals} from './process-signals.js';

// A signal that arrives before its handler is installed ends the process. All other modules are therefore loaded later.
processSignals.installForCommand(process.argv);

// The host modules are loaded on demand, so that the operators' commands start without loading them.
const runHost: RunHost = async (settings) => {
	const module = await import('./run-host.js');
	return module.runHost(settings);
};

const runForwardingHost: RunForwardingHost = async (settings, file) => {
	const module = await import('./run-forwarding-host.js');
	return module.runForwardingHost(settings, file);
};

async function main(): Promise<void> {
	const {createCommandLine, runCommandLine} = await import('./command-line.js');
	await runCommandLine(
		createCommandLine(runHost, runForwardingHost),
		process.argv,
	);
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- The bundle is CommonJS, which has no top-level await.
void main();
