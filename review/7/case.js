/* eslint-disable camelcase -- the names are those of the platform */
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfig, hostName, putConfig} from '../common-2/config.js';
import {send} from '../common-2/consumer.js';
import {isReady, runCase, until} from '../common-2/run-case.js';
import {sendEvents, sendWithoutEnd} from '../common-2/streams.js';
import {Worker} from '../common-2/worker.js';

/** Time for which the machine has run before anything is sent. */
const stableMilliseconds = 4000;
const streams = 16;
/** Time after its first event for which the worker in trouble is silent before the bytes without end. */
const silenceMilliseconds = 1400;
/** Time to the first event at the sound worker. */
const startMilliseconds = 600;
const soundStream = {events: 3, intervalMilliseconds: 50};
/** Silence after which a consumer leaves its stream. */
const patienceMilliseconds = 2000;
const bookingIntervalMilliseconds = 25;
const bookingSeconds = 20;
/** The route's time limit, and the time beyond it within which a final answer is due. */
const timeoutMilliseconds = 2000;
const graceMilliseconds = 500;
/** Time limit of the consumers, who then leave. */
const limitMilliseconds = 4000;
/** Requests without an answer from which the rule is broken, if they are more than a quarter. */
const maximumUnanswered = 7;

await runCase(
	import.meta.dirname,
	async ({store, address, fleet, hasTrouble, log, onStop}) => {
		const startWorker = async (id, service, behaviour) => {
			const worker = new Worker({id, service, store, log});
			worker.behaviour = (request, response) => {
				behaviour(worker, request, response);
			};

			await worker.start('127.0.0.1');
			onStop(() => {
				worker.stop();
			});
		};

		const answerSoundly = (...exchange) => {
			setTimeout(() => {
				sendEvents(...exchange, soundStream);
			}, startMilliseconds);
		};

		await startWorker('draft-sound', 'draft', answerSoundly);
		await startWorker('draft-troubled', 'draft', (worker, ...exchange) => {
			if (!hasTrouble) {
				answerSoundly(worker, ...exchange);
				return;
			}

			const [request, response] = exchange;
			worker.beginStream(request, response);
			const first = Number(request.headers['last-event-id'] ?? 0) + 1;
			response.write(`id: ${first}\ndata: piece ${first} of v1\n\n`);
			setTimeout(() => {
				log('bytes without end', {request: request.headers['request-id']});
				sendWithoutEnd(response);
			}, silenceMilliseconds);
		});
		await startWorker('booking-sound', 'booking', (worker, ...exchange) => {
			setTimeout(() => {
				worker.answer(...exchange.slice(0, 2), 'booked');
			}, 60);
		});
		putConfig(
			store,
			createConfig(1, {
				routes: [
					{
						name: 'draft',
						prefix: '/draft/',
						kind: 'stream',
						service: 'draft',
						allow_resume: true,
						attempts: 2,
						timeout_ms: 15_000,
						gap_aim_ms: 150,
					},
					{
						name: 'book',
						prefix: '/book/',
						kind: 'non_idempotent',
						service: 'booking',
						timeout_ms: timeoutMilliseconds,
					},
				],
				services: ['draft', 'booking'],
			}),
		);
		await fleet.start(['127.0.10.1'], address);
		const [host] = fleet.hosts;
		await until(`${host.name} is ready`, async () => isReady(host));
		await sleep(stableMilliseconds);
		let count = 0;
		const draft = async () => {
			count++;
			const id = `draft-${count}`;
			log('sent', {id});
			let timer;
			const {status, isComplete, error} = await send(host.front, {
				method: 'POST',
				path: '/draft/1',
				headers: {Host: hostName, 'Request-Id': id, 'Deadline-Ms': '15000'},
				body: 'a prompt',
				onData(_chunk, call) {
					clearTimeout(timer);
					timer = setTimeout(() => {
						call.destroy();
					}, patienceMilliseconds);
				},
			});
			clearTimeout(timer);
			log('answered', {id, status, isComplete, error});
		};

		const unanswered = [];
		const late = [];
		const book = async () => {
			count++;
			const id = `booking-${count}`;
			const sentAt = performance.now();
			log('sent', {id});
			const {status, error} = await send(host.front, {
				method: 'POST',
				path: '/book/1',
				headers: {
					Host: hostName,
					'Request-Id': id,
					'Deadline-Ms': String(limitMilliseconds),
				},
				body: 'a booking',
				limitMilliseconds,
			});
			const milliseconds = Math.round(performance.now() - sentAt);
			log('answered', {id, status, error, milliseconds});
			if (milliseconds >= timeoutMilliseconds) {
				late.push(id);
			}

			if (milliseconds > timeoutMilliseconds + graceMilliseconds) {
				unanswered.push(id);
			}
		};

		const drafts = Array.from({length: streams}, async () => draft());
		const bookings = [];
		const end = performance.now() + bookingSeconds * 1000;
		while (performance.now() < end) {
			bookings.push(book());
			await sleep(bookingIntervalMilliseconds);
		}

		await Promise.all([...drafts, ...bookings]);
		log('bookings', {
			sent: bookings.length,
			unansweredAtTimeout: late.length,
			unansweredHalfASecondLater: unanswered.length,
		});
		return unanswered.length > maximumUnanswered &&
			unanswered.length > late.length / 4
			? [
					`${unanswered.length} of ${late.length} bookings that were unanswered at their route's timeout_ms had no answer half a second later`,
				]
			: [];
	},
);
