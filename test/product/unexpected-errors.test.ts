import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';

const script = `
import {observeUnexpectedErrors} from './build/src/program/unexpected-errors.js';
observeUnexpectedErrors({
	record(event, fields) {
		console.log(JSON.stringify({event: event.name, ...fields}));
	},
});
setTimeout(() => { throw new TypeError('in a timer'); }, 1);
setTimeout(() => { throw Object.create(null); }, 2);
setTimeout(() => { void Promise.reject(new Error('unhandled')); }, 3);
setTimeout(() => { void Promise.reject(undefined); }, 4);
setTimeout(() => { throw Object.defineProperty(new Error(), 'message', {get() { throw new Error('odd'); }}); }, 5);
setTimeout(() => { console.log(JSON.stringify({event: 'end'})); }, 100);
`;

// Guards against a host that loses all its requests by an error in one callback, and against an end without a trace.
test('unexpected errors are recorded and do not end the process', () => {
	const {stdout, stderr, status} = spawnSync(
		process.execPath,
		['--input-type=module', '--eval', script],
		{encoding: 'utf8', timeout: 20_000},
	);
	assert.equal(status, 0, stderr);
	const lines = stdout
		.trim()
		.split('\n')
		.map((line) => JSON.parse(line) as Record<string, string>);
	assert.deepEqual(
		lines.map(({event, origin, name, message}) => [
			event,
			origin,
			name,
			message,
		]),
		[
			['unexpected-error', 'uncaughtException', 'TypeError', 'in a timer'],
			[
				'unexpected-error',
				'uncaughtException',
				'object',
				'cannot be described',
			],
			['unexpected-error', 'unhandledRejection', 'Error', 'unhandled'],
			['unexpected-error', 'unhandledRejection', 'undefined', 'undefined'],
			[
				'unexpected-error',
				'uncaughtException',
				'object',
				'cannot be described',
			],
			['end', undefined, undefined, undefined],
		],
	);
	assert.match(lines[0]!.stack!, /TypeError: in a timer\n/);
	assert.ok(lines[0]!.stack!.split('\n').length <= 8);
});
