import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {request} from 'undici';
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

const prompt = 'Draft the hem of a ward curtain. tokens=40';

test('a document that removes a target and its pool does not cut off running responses', async () => {
	const platform = await startPlatform(fleet);
	const engine = await fleet.standIn('engine', {
		target: 'sarto-1',
		betweenTokensMilliseconds: 50,
	});
	const service = await fleet.standIn('service');
	const host = await fleet.host(
		'entry-1',
		hostSettings(platform, 'entry-1', 'palermo'),
	);
	const document = testDocument({
		engines: [
			{id: 'sarto-1', address: engine.address, failureDomain: 'palermo'},
		],
		services: [
			{id: 'ordini-1', address: service.address, failureDomain: 'palermo'},
		],
	});
	const submitted = await submitDocument(host, document, 0);
	assert.equal(submitted.status, 200, submitted.text);
	const url = `${host.callers}/v1/chat/completions`;
	await waitUntil('the model is served', async () => {
		const response = await send('POST', url, {
			key: callerKey,
			body: {model: 'measure', messages: [{role: 'user', content: 'Ready?'}]},
		});
		return response.status === 200 ? response : undefined;
	});

	const response = await request(url, {
		method: 'POST',
		headers: {
			authorization: `Bearer ${callerKey}`,
			'content-type': 'application/json',
		},
		body: JSON.stringify({
			model: 'measure',
			stream: true,
			messages: [{role: 'user', content: prompt}],
		}),
	});
	assert.equal(response.statusCode, 200);
	const changed = await submitDocument(
		host,
		{
			...document,
			pools: document.pools.filter((pool) => pool.kind === 'service'),
			models: [],
			adapters: [],
			offerings: [],
			callers: document.callers.map((caller) => ({...caller, offerings: []})),
		},
		1,
	);
	assert.equal(changed.status, 200, changed.text);
	await waitUntil('the offering is removed', async () => {
		const refused = await send('POST', url, {
			key: callerKey,
			body: {model: 'measure', messages: [{role: 'user', content: 'Still?'}]},
		});
		return refused.json.code === 'unknown-offering' ? refused : undefined;
	});
	const text = await response.body.text();
	assert.ok(text.endsWith('data: [DONE]\n\n'), text.slice(-300));
	const chunks = text
		.split('\n\n')
		.filter((event) => event.includes('"content":"') && !event.includes('""'));
	assert.equal(chunks.length, 40);
});
