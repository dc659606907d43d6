import process from 'node:process';
import {createCommandLine, runCommandLine} from './command-line.js';
import {type RunForwardingHost} from './forwarding-commands.js';
import {type RunHost} from './host-commands.js';

// The host modules are loaded on demand, so that the operators' commands start without loading them.
const runHost: RunHost = async (settings) => {
	const module = await import('./run-host.js');
	return module.runHost(settings);
};

const runForwardingHost: RunForwardingHost = async (settings, file) => {
	const module = await import('./run-forwarding-host.js');
	return module.runForwardingHost(settings, file);
};

void runCommandLine(
	createCommandLine(runHost, runForwardingHost),
	process.argv,
);
