import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {generate} from 'selfsigned';
import {Agent, request} from 'undici';
import {TestFleet, waitUntil} from './processes.js';
import {
	hostSettings,
	operatorToken,
	startPlatform,
	submitDocument,
	testDocument,
} from './test-deployment.js';

const fleet = new TestFleet();
const agents: Agent[] = [];
after(async () => {
	await fleet.dispose();
	await Promise.all(agents.map(async (agent) => agent.close()));
});

const validUntil = new Date('2099-01-01T00:00:00Z');

async function createAuthority(name: string) {
	return generate([{name: 'commonName', value: name}], {
		notAfterDate: validUntil,
		extensions: [
			{name: 'basicConstraints', cA: true, critical: true},
			{name: 'keyUsage', keyCertSign: true, digitalSignature: true},
		],
	});
}

type Authority = Awaited<ReturnType<typeof createAuthority>>;

async function createIdentity(name: string, authority: Authority) {
	const pems = await generate([{name: 'commonName', value: name}], {
		notAfterDate: validUntil,
		ca: {key: authority.private, cert: authority.cert},
		extensions: [
			{name: 'basicConstraints', cA: false},
			{name: 'keyUsage', digitalSignature: true, keyEncipherment: true},
			{name: 'extKeyUsage', serverAuth: true, clientAuth: true},
			{name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
		],
	});
	return {certificate: pems.cert, key: pems.private};
}

function agentFor(authority: Authority): Agent {
	const agent = new Agent({connect: {ca: authority.cert}});
	agents.push(agent);
	return agent;
}

// A listener with a certificate must not accept plain HTTP, and peers of another authority must be refused.
test('hosts with certificates serve over TLS and accept only peers of their authority', async () => {
	const platform = await startPlatform(fleet);
	const authority = await createAuthority('authority of the fleet');
	const stranger = await createAuthority('another authority');
	const start = async (name: string, peers: Authority) => {
		const identity = await createIdentity(name, authority);
		return fleet.host(name, {
			...hostSettings(platform, name, 'palermo'),
			tls: {
				callers: identity,
				operators: identity,
				peers: {
					...(await createIdentity(name, peers)),
					authority: peers.cert,
				},
			},
		});
	};

	const [first, second, third] = await Promise.all([
		start('entry-1', authority),
		start('entry-2', authority),
		start('entry-3', stranger),
	]);
	const dispatcher = agentFor(authority);
	const operators = first.operators.replace('http:', 'https:');
	const document = testDocument({
		engines: [
			{
				id: 'sarto-1',
				address: 'http://127.0.0.1:9',
				failureDomain: 'palermo',
			},
		],
		services: [
			{
				id: 'ordini-1',
				address: 'http://127.0.0.1:10',
				failureDomain: 'palermo',
			},
		],
	});
	const submitted = await submitDocument(
		{...first, operators},
		document,
		0,
		dispatcher,
	);
	assert.equal(submitted.status, 200, submitted.text);
	await waitUntil(
		'only heartbeats of the host with the same authority are received',
		async () => {
			const status = await request(`${operators}/operator/v1/status`, {
				dispatcher,
				headers: {authorization: `Bearer ${operatorToken}`},
			});
			const {members} = (await status.body.json()) as {
				members: Array<{host: string; state: string; ageMilliseconds: number}>;
			};
			const membersByHost = new Map(
				members.map((member) => [member.host, member]),
			);
			// A start record alone makes a host live for some time. Only a heartbeat gives it an age.
			const stranger = membersByHost.get('entry-3');
			return (
				(membersByHost.get('entry-2')?.ageMilliseconds ?? -1) >= 0 &&
				stranger !== undefined &&
				stranger.state !== 'live' &&
				stranger.ageMilliseconds < 0
			);
		},
	);
	const callers = second.callers.replace('http:', 'https:');
	const refused = await request(`${callers}/v1/models`, {dispatcher});
	assert.equal(refused.statusCode, 401);
	await assert.rejects(request(`${second.callers}/v1/models`));
	await assert.rejects(
		request(`${callers}/v1/models`, {dispatcher: agentFor(stranger)}),
	);
	assert.equal(third.process.exitCode, undefined);
});
