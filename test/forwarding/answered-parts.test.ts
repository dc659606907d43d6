import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {
	responseHead,
	StandInWorker,
	streamEvents,
} from '../platform/stand-in-worker.js';
import {waitUntil} from '../process/processes.js';
import {forwardingDocument, ForwardingHarness} from './forwarding-harness.js';

const harness = new ForwardingHarness();
const worker = new StandInWorker('i-1');

before(async () => {
	await harness.start(forwardingDocument);
	harness.list('i-1', await worker.start());
});

after(async () => {
	worker.stop();
	await harness.stop();
});

function observed(part: string) {
	return {
		id: 'r' as never,
		fingerprint: 'f' as never,
		promptParts: [part, 'own'] as never[],
	};
}

// Guards against proof of soundness from answers that may have been cut short when their target ended, which would
// hide the part that ended it.
test('only a complete answer with a frame vouches for the parts of its prompt', async () => {
	const call = async (part: string) =>
		harness.call('/stream/x', {headers: {'Prompt-Prefix': `${part}:5,own:5`}});
	worker.behaviour = ({headers, socket}) => {
		socket.end(
			`${responseHead('200 OK', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				Connection: 'close',
			})}id: 1\ndata: x\n\n`,
		);
	};

	await call('unframed');
	worker.behaviour = ({headers, socket}) => {
		socket.write(
			responseHead('404 Not Found', {
				'Request-Id': headers.get('request-id') ?? '',
				'Response-Sig': 'signed',
				'Content-Length': '0',
			}),
		);
	};

	await call('failed');
	worker.behaviour = streamEvents(1, 3, 'whole');
	await call('framed');
	await waitUntil('the answer is recorded', () =>
		harness.crashes.isSound(observed('framed')),
	);
	assert.equal(harness.crashes.isSound(observed('unframed')), false);
	assert.equal(harness.crashes.isSound(observed('failed')), false);
});
