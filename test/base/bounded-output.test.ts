import assert from 'node:assert/strict';
import {closeSync, mkdtempSync, openSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {createLogger, format, transports} from 'winston';
import {BoundedOutput} from '../../src/services/bounded-output.js';

// Guards against warnings that are lost behind the lines of requests in a burst, when they matter most.
test('warnings are written beside more lines than the limit allows', async () => {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'output-')), 'log');
	const fileDescriptor = openSync(file, 'w');
	const output = new BoundedOutput({
		fileDescriptor,
		maximumBytes: 1_000_000,
		linesPerSecond: 10,
		importantLinesPerSecond: 3,
		now: () => 0,
	});
	const logger = createLogger({
		format: format.json(),
		transports: [new transports.Stream({stream: output})],
	});
	for (let index = 0; index < 20; index++) {
		logger.info(`request ${index}`);
	}

	for (let index = 0; index < 5; index++) {
		logger.warn(`warning ${index}`);
	}

	await output.drain(5000);
	closeSync(fileDescriptor);
	const messages = readFileSync(file, 'utf8')
		.trim()
		.split('\n')
		.map((line) => (JSON.parse(line) as {message: string}).message);
	assert.deepEqual(messages, [
		...Array.from({length: 10}, (_, index) => `request ${index}`),
		...Array.from({length: 3}, (_, index) => `warning ${index}`),
	]);
	assert.equal(output.droppedLines, 12);
});
