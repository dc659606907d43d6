import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {BodyBuffer} from '../../src/base/node/body-buffer.js';
import {ByteBudget} from '../../src/core/limits/byte-budget.js';
import {
	clientLimits,
	isBodyTooSlow,
} from '../../src/core/limits/client-limits.js';
import {forwardingSettingsSchema} from '../../src/program/forwarding-settings.js';

const seed = 20_261_206;
const defaults = forwardingSettingsSchema.shape.clients.parse(undefined);

// Guards against defaults that a client within the limits of the document reaches, or that exceed a small machine.
test('the default limits leave room for the clients of the document on each machine', () => {
	for (const megabytes of [160, 250, 350, 602, 16_000]) {
		const limits = clientLimits(defaults, {
			memoryBytes: megabytes * 1_000_000,
			descriptors: 1024,
		});
		assert.ok(limits.heldBytes >= 2 * 4_194_304);
		assert.ok(limits.heldBytes <= (megabytes * 1_000_000) / 2);
		assert.ok(limits.connections >= 350);
		assert.ok(limits.connections + limits.peerConnections < 1024 * 0.6);
		// The document limits the size of a body and its pauses, but neither its time nor its rate.
		assert.equal(isBodyTooSlow(limits, 4_194_304, 15_000), false);
		assert.equal(isBodyTooSlow(limits, 0, 15_000), false);
		assert.equal(isBodyTooSlow(limits, 100, 21_000), false);
		assert.equal(isBodyTooSlow(limits, 4_194_304, 3_600_000), false);
		const strict = clientLimits(
			{...defaults, bodySeconds: 60, bytesPerSecond: 256},
			{memoryBytes: megabytes * 1_000_000, descriptors: 1024},
		);
		assert.equal(isBodyTooSlow(strict, 4_194_304, 15_000), false);
		assert.equal(isBodyTooSlow(strict, 0, 15_000), false);
		assert.equal(isBodyTooSlow(strict, 100, 21_000), true);
		assert.equal(isBodyTooSlow(strict, 4_194_304, 61_000), true);
	}
});

// Guards against settings whose errors are found only when a limit is reached.
test('limits for clients that are no limits are rejected', () => {
	const {clients} = forwardingSettingsSchema.shape;
	for (const wrong of [
		{connections: 0},
		{peerConnections: 1.5},
		{heldMegabytes: -1},
		{requestsPerConnection: 0},
		{bodySeconds: 0},
		{bytesPerSecond: -1},
		{stalledSeconds: 0},
		{fragmentedBodies: 0},
		{unreadSeconds: '30'},
		{other: 1},
	]) {
		assert.equal(clients.safeParse(wrong).success, false);
	}
});

// Guards against parts that exceed their sum, and against small bodies that do.
test('bytes of a part count in the sum, which also limits small bodies of requests', () => {
	const total = new ByteBudget(100_000);
	const requests = new ByteBudget(90_000, {total, mayRefuseSmall: true});
	const answers = new ByteBudget(90_000, {total, mayRefuseSmall: false});
	const first = requests.hold();
	assert.equal(first.tryTake(80_000), true);
	assert.equal(total.heldBytes, 80_000);
	assert.equal(answers.tryTake(30_000), false);
	assert.equal(requests.hold().tryTake(30_000), false);
	assert.equal(answers.hold().tryTake(30_000), true);
	first.release();
	assert.equal(total.heldBytes, 30_000);
});

// Guards against bodies whose bytes are lost or mixed when chunks of different sizes are copied together.
test(`a body is the same in any chunks (seed ${seed})`, () => {
	fc.assert(
		fc.property(
			fc.array(fc.oneof(fc.nat(3), fc.nat(300), fc.nat(20_000)), {
				maxLength: 60,
			}),
			(sizes) => {
				const buffer = new BodyBuffer();
				const chunks = sizes.map((size, index) =>
					Buffer.alloc(size, index % 251),
				);
				for (const chunk of chunks) {
					buffer.append(chunk);
				}

				const expected = Buffer.concat(chunks);
				assert.equal(buffer.length, expected.length);
				assert.ok(buffer.take().equals(expected));
				assert.equal(buffer.length, 0);
			},
		),
		{seed},
	);
});
