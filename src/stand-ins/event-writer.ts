import {type ServerResponse} from 'node:http';
import {type GenerationEvent} from '../contracts/engine.js';
import {type RequestId} from '../contracts/ids.js';
import {type StreamFault} from './engine-faults.js';

/** Writes the events of one generation to an HTTP response as JSON lines and injects at most one stream fault. */
export class EventWriter {
	private writtenEvents = 0;
	private stopped = false;

	constructor(
		private readonly outgoing: ServerResponse,
		private readonly fault: StreamFault | undefined,
	) {}

	/** Writes an event, changed if the fault applies to it. Writes nothing after the end of the stream. */
	write(event: GenerationEvent): void {
		if (this.stopped) {
			return;
		}

		const isFaultDue = this.fault?.afterEvents === this.writtenEvents;
		this.writtenEvents++;
		if (isFaultDue && this.fault) {
			this.writeWithFault(event, this.fault.kind);
			return;
		}

		if (this.fault?.kind === 'wrong-count' && event.kind === 'end') {
			this.send({...event, tokens: event.tokens + 1});
			return;
		}

		this.send(event);
	}

	private writeWithFault(
		event: GenerationEvent,
		kind: StreamFault['kind'],
	): void {
		switch (kind) {
			case 'truncated': {
				this.stopped = true;
				this.outgoing.end();
				return;
			}

			case 'broken': {
				this.stopped = true;
				this.outgoing.socket?.resetAndDestroy();
				return;
			}

			case 'stalled': {
				this.stopped = true;
				return;
			}

			case 'crossed': {
				this.send({
					kind: 'token',
					requestId: 'foreign-request' as RequestId,
					sequence: event.kind === 'token' ? event.sequence : 0,
					text: 'FOREIGN ',
				});
				this.send(event);
				return;
			}

			case 'duplicate': {
				if (event.kind === 'token') {
					this.send(event);
				}

				this.send(event);
				return;
			}

			case 'missing': {
				if (event.kind === 'end') {
					this.send(event);
				}

				return;
			}

			case 'garbled': {
				this.outgoing.write('{"kind":"tok\n');
				this.send(event);
				return;
			}

			case 'wrong-count': {
				this.send(
					event.kind === 'end' ? {...event, tokens: event.tokens + 1} : event,
				);
			}
		}
	}

	private send(event: GenerationEvent): void {
		this.outgoing.write(`${JSON.stringify(event)}\n`);
		if (event.kind === 'end') {
			this.stopped = true;
			this.outgoing.end();
		}
	}
}
