import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseSettings} from '../../src/program/settings-loader.js';

const digest = 'a'.repeat(64);
const validSettings = `host: palermo-1
failureDomain: palermo
listen:
  callers: 10.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: "[::1]:8082"
platform:
  logService: http://10.0.9.1:9000
  hostList: http://10.0.9.2:9000
  weightStore: http://10.0.9.3:9000
peerSecret: {environment: PEER_SECRET}
operators:
  - name: ornella
    tokenDigest: ${digest}
`;
const environment = {PEER_SECRET: 'a-long-peer-secret'};

test('absent settings take their defaults and a secret is read from the environment', () => {
	const settings = parseSettings(
		validSettings,
		's.yaml',
		environment,
	)._unsafeUnwrap();
	assert.equal(settings.peerSecret, 'a-long-peer-secret');
	assert.deepEqual(settings.listen.peers, {address: '::1', port: 8082});
	assert.equal(settings.limits.bodyBytes, 1_048_576);
	assert.equal(settings.log.format, 'json');
});

const invalidSettings: ReadonlyArray<
	readonly [title: string, change: (text: string) => string, expected: string[]]
> = [
	[
		'an unknown key, with the nearest known key',
		(text) => text.replace('failureDomain', 'failureDomian'),
		[
			's.yaml:1:1: failureDomain: expected string, but is missing',
			's.yaml:2:1: failureDomian: unknown key "failureDomian"; did you mean "failureDomain"?',
		],
	],
	[
		'an unknown nested key',
		(text) => text + 'limits:\n  bodyByte: 5\n',
		[
			's.yaml:16:3: limits.bodyByte: unknown key "bodyByte"; did you mean "bodyBytes"?',
		],
	],
	[
		'an unknown key in a list',
		(text) => text + '    tokens: x\n',
		[
			's.yaml:15:5: operators[0].tokens: unknown key "tokens"; did you mean "tokenDigest"?',
		],
	],
	[
		'several errors at once',
		(text) =>
			text
				.replace('10.0.0.1:8080', 'everywhere')
				.replace('http://10.0.9.2:9000', 'ftp://10.0.9.2')
				.replace(digest, 'short'),
		[
			's.yaml:4:3: listen.callers: must be an address and a port, such as 10.0.0.5:8080',
			's.yaml:9:3: platform.hostList: must be an http or https URL',
			's.yaml:14:5: operators[0].tokenDigest: must be a SHA-256 digest in lower-case hexadecimal',
		],
	],
	[
		'a variable that is not set',
		(text) => text.replace('PEER_SECRET', 'NO_SUCH'),
		['s.yaml:11:1: peerSecret: the environment variable NO_SUCH is not set'],
	],
	[
		'a YAML error',
		(text) => text.replace('host: palermo-1', 'host: "palermo-1'),
		['s.yaml:'],
	],
	[
		'a port out of range',
		(text) => text.replace('10.0.0.1:8080', '10.0.0.1:80800'),
		['s.yaml:4:3: listen.callers: must have a port of at most 65535'],
	],
];

for (const [title, change, expected] of invalidSettings) {
	// All errors must be reported at once, each with its line and column.
	test(`invalid settings are reported: ${title}`, () => {
		const error = parseSettings(
			change(validSettings),
			's.yaml',
			environment,
		)._unsafeUnwrapErr();
		const lines = error.message.split('\n');
		for (const [index, line] of expected.entries()) {
			assert.ok(lines[index]?.startsWith(line), `${lines[index]} / ${line}`);
		}

		if (title !== 'a YAML error') {
			assert.equal(lines.length, expected.length, error.message);
		}
	});
}
