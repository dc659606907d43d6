import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {transports} from 'winston';
import {HistogramMetricRegistry} from '../../src/services/histogram-metric-registry.js';
import {WinstonEventLogger} from '../../src/services/winston-event-logger.js';

const event = {
	number: 5000,
	name: 'test-happened',
	level: 'info',
	description: 'Only a test.',
} as const;

// Guards against secrets in logs, by field name, by literal value and as a bearer token in a text.
test('the logger redacts secrets', () => {
	const stream = new PassThrough();
	const logger = new WinstonEventLogger({
		level: 'info',
		format: 'json',
		secrets: ['hunter2hunter2'],
		fields: {host: 'palermo-1'},
		transport: new transports.Stream({stream}),
	});
	logger.record(event, {
		peerSecret: 'abc',
		fencingToken: 7,
		reason: 'sent hunter2hunter2 and Bearer xyz',
		cause: new Error('outer', {cause: new Error('hunter2hunter2')}),
	});
	logger.record({...event, level: 'debug'});
	const text = String(stream.read());
	const line = JSON.parse(text) as Record<string, unknown>;
	assert.equal(text.trim().split('\n').length, 1);
	assert.equal(line.event, 5000);
	assert.equal(line.host, 'palermo-1');
	assert.deepEqual(line.fields, {
		peerSecret: '[redacted]',
		fencingToken: 7,
		reason: 'sent [redacted] and Bearer [redacted]',
		cause: {
			name: 'Error',
			message: 'outer',
			cause: {name: 'Error', message: '[redacted]'},
		},
	});
});

test('metrics are written in the text exposition format', () => {
	const metrics = new HistogramMetricRegistry({
		help: {requests_total: 'Requests by code.'},
	});
	metrics.count('requests_total', {code: 'a"b'});
	metrics.count('requests_total', {code: 'a"b'}, 2);
	metrics.gauge('queue_length', 4);
	for (let index = 1; index <= 100; index++) {
		metrics.observe('call_milliseconds', index);
	}

	const lines = new Set(metrics.exposition().split('\n'));
	assert.ok(lines.has('# HELP requests_total Requests by code.'));
	assert.ok(lines.has('# TYPE requests_total counter'));
	assert.ok(lines.has(String.raw`requests_total{code="a\"b"} 3`));
	assert.ok(lines.has('queue_length 4'));
	assert.ok(lines.has('# TYPE call_milliseconds summary'));
	assert.ok(lines.has('call_milliseconds_count 100'));
	assert.ok(lines.has('call_milliseconds_sum 5050'));
	const median = metrics.quantile('call_milliseconds', 0.5) ?? 0;
	assert.ok(Math.abs(median - 50) <= 0.5, String(median));
});

// Guards against memory use without bound by a label that takes many values.
test('the number of series of a metric is bounded', () => {
	const metrics = new HistogramMetricRegistry({maximumSeries: 2});
	for (const caller of ['a', 'b', 'c', 'a']) {
		metrics.count('requests_total', {caller});
	}

	assert.match(metrics.exposition(), /caller="a"} 2/);
	assert.doesNotMatch(metrics.exposition(), /caller="c"/);
});
