import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import OpenAI from 'openai';
import {send, TestFleet, waitUntil} from './processes.js';
import {
	callerKey,
	hostSettings,
	startPlatform,
	submitDocument,
	testDocument,
} from './test-deployment.js';

const fleet = new TestFleet();
after(async () => fleet.dispose());

// Covers the interaction of all components, each of which runs in its own process.
test('a document submitted through one host is served by another, streamed responses and bookings included', async () => {
	const platform = await startPlatform(fleet);
	const engineOptions = {
		memoryBytes: 1_000_000,
		slots: 8,
		artifacts: [
			{key: 'model/hem-base@1', bytes: 400_000},
			{key: 'adapter/ward-linen@1', bytes: 10_000},
		],
	};
	const [first, second, service] = await Promise.all([
		fleet.standIn('engine', {...engineOptions, target: 'sarto-1'}),
		fleet.standIn('engine', {...engineOptions, target: 'sarto-2'}),
		fleet.standIn('service'),
	]);
	const [palermo, catania] = await Promise.all([
		fleet.host('entry-1', hostSettings(platform, 'entry-1', 'palermo')),
		fleet.host('entry-2', hostSettings(platform, 'entry-2', 'catania')),
	]);
	const document = testDocument({
		engines: [
			{id: 'sarto-1', address: first.address, failureDomain: 'palermo'},
			{id: 'sarto-2', address: second.address, failureDomain: 'catania'},
		],
		services: [
			{id: 'ordini-1', address: service.address, failureDomain: 'palermo'},
		],
	});
	const submitted = await submitDocument(palermo, document, 0);
	assert.equal(submitted.status, 200, submitted.text);

	const client = new OpenAI({
		apiKey: callerKey,
		baseURL: `${catania.callers}/v1`,
		maxRetries: 0,
	});
	await waitUntil('the model is served', async () => {
		const response = await send(
			'POST',
			`${catania.callers}/v1/chat/completions`,
			{
				key: callerKey,
				body: {
					model: 'measure',
					messages: [{role: 'user', content: 'How wide is the ward?'}],
				},
			},
		);
		return response.status === 200 ? response : undefined;
	});
	const models = await client.models.list();
	assert.deepEqual(
		models.data.map((model) => model.id),
		['measure', 'draft'],
	);
	const stream = await client.chat.completions.create({
		model: 'draft',
		messages: [{role: 'user', content: 'Draft the hem of a ward curtain.'}],
		stream: true,
	});
	let text = '';
	let finishReason: string | null = null;
	for await (const chunk of stream) {
		text += chunk.choices[0]?.delta.content ?? '';
		finishReason = chunk.choices[0]?.finish_reason ?? finishReason;
	}

	const whole = await client.chat.completions.create({
		model: 'draft',
		messages: [{role: 'user', content: 'Draft the hem of a ward curtain.'}],
	});
	assert.equal(text, whole.choices[0]?.message.content);
	assert.ok(text.length > 0);
	assert.equal(finishReason, 'stop');

	const booking = {
		key: callerKey,
		body: {order: 'marker=hem-1'},
		headers: {'idempotency-key': 'booking-0001'},
	};
	const url = `${catania.callers}/services/orders/confirmations`;
	const booked = await send('POST', url, booking);
	assert.equal(booked.status, 201, booked.text);
	const repeated = await send(
		'POST',
		`${palermo.callers}/services/orders/confirmations`,
		booking,
	);
	assert.equal(repeated.status, 201, repeated.text);
	assert.equal(repeated.text, booked.text);
	const conflict = await send('POST', url, {
		...booking,
		body: {order: 'marker=hem-2'},
	});
	assert.equal(conflict.json.code, 'key-conflict');
	const statistics = await send(
		'GET',
		`${service.address}/stand-in/statistics`,
	);
	assert.deepEqual(statistics.json.executions, {'hem-1': 1});
});
