import process from 'node:process';
import {makeCommandLine, runCommandLine} from './command-line.js';
import {type StartHost} from './host-commands.js';

// Loaded on demand, so that the operators' commands start without the serving path.
const startHost: StartHost = async (settings) => {
	const {runHost} = await import('./run-host.js');
	return runHost(settings);
};

void runCommandLine(makeCommandLine(startHost), process.argv);
