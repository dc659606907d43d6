import process from 'node:process';
import {type EventLogger} from '../base/common/event-logger.js';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';
import {processSignals, type HostSignal} from './process-signals.js';

/** What signals do to a host. */
export type HostSignalsOptions = {
	readonly events: EventLogger;
	/** Stops the host gracefully. */
	readonly stop: () => Promise<void>;
	/** Sends the last responses of a host that is ended at once. */
	readonly sendLastResponses?: () => Promise<void>;
	/** Reads the settings again. */
	readonly reload?: () => void;
	/** Waits for the log lines to be written, for a bounded time. */
	readonly flushLog?: () => Promise<void>;
};

type SignalAction = 'stop' | 'end-at-once' | 'read-settings' | 'none';

/** Handles the signals of a host. The first SIGTERM or SIGINT stops it, and the process then exits with code 0. During the stop, SIGTERM does nothing, because a platform may repeat it, and SIGINT ends the process at once with code 1. SIGHUP reads the settings again. */
export class HostSignals {
	private isStopping = false;
	private isEnding = false;

	constructor(private readonly options: HostSignalsOptions) {}

	/** Receives the signals of the process from now on, and those that came before. */
	takeOver(): void {
		processSignals.handOver((signal) => {
			this.handle(signal);
		});
	}

	/** Records the end of the process and exits, once the log lines are written or their reader has had its time. */
	async exit(code: number, reason: string): Promise<void> {
		const {events, flushLog} = this.options;
		events.record(forwardingEvents.processEnding, {code, reason});
		await flushLog?.();
		process.exit(code);
	}

	private handle(signal: HostSignal): void {
		const action = this.actionOf(signal);
		this.options.events.record(forwardingEvents.signalReceived, {
			signal,
			action,
		});
		switch (action) {
			case 'stop': {
				this.isStopping = true;
				void this.stop(signal);
				break;
			}

			case 'end-at-once': {
				this.isEnding = true;
				void this.endAtOnce(signal);
				break;
			}

			case 'read-settings': {
				this.options.reload?.();
				break;
			}

			case 'none': {
				break;
			}
		}
	}

	private actionOf(signal: HostSignal): SignalAction {
		const {reload} = this.options;
		if (signal === 'SIGHUP' && reload) {
			return 'read-settings';
		}

		if (signal !== 'SIGTERM' && signal !== 'SIGINT') {
			return 'none';
		}

		if (!this.isStopping) {
			return 'stop';
		}

		return signal === 'SIGINT' && !this.isEnding ? 'end-at-once' : 'none';
	}

	private async stop(signal: HostSignal): Promise<void> {
		try {
			await this.options.stop();
		} catch (error) {
			// A stop that fails half-way must still end the process.
			await this.sendLastResponses();
			await this.exit(1, `stop failed: ${String(error)}`);
			return;
		}

		await this.exit(0, signal);
	}

	private async endAtOnce(signal: HostSignal): Promise<void> {
		await this.sendLastResponses();
		await this.exit(1, `${signal} during the stop`);
	}

	/** Sends the last responses. The process ends even if that fails. */
	private async sendLastResponses(): Promise<void> {
		try {
			await this.options.sendLastResponses?.();
		} catch (error) {
			this.options.events.record(forwardingEvents.unexpectedError, {
				origin: 'end of the process',
				message: String(error),
			});
		}
	}
}
