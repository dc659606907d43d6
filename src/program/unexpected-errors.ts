import process from 'node:process';
import {CallbackDisposable} from '../base/common/disposable.js';
import {type EventLogger} from '../base/common/event-logger.js';
import {forwardingEvents} from '../contracts/events/forwarding-events.js';

/** Lines and length of a stack that are enough to find the place of an error. */
const stackLimits = {lines: 8, characters: 2000};
const maximumMessageCharacters = 300;

/** Records errors that no part of the program handles. They do not end the process, because all its requests would be lost with it. */
export function observeUnexpectedErrors(
	events: EventLogger,
): CallbackDisposable {
	const record = (error: unknown, origin: string) => {
		events.record(forwardingEvents.unexpectedError, {
			origin,
			...describe(error),
		});
	};

	const handleRejection = (reason: unknown) => {
		record(reason, 'unhandledRejection');
	};

	process.on('uncaughtException', record);
	process.on('unhandledRejection', handleRejection);
	return new CallbackDisposable(() => {
		process.off('uncaughtException', record);
		process.off('unhandledRejection', handleRejection);
	});
}

/** Describes any thrown value. Never throws, since an exception here would end the process. */
function describe(error: unknown): Readonly<Record<string, string>> {
	try {
		if (!(error instanceof Error)) {
			return {
				name: typeof error,
				message: String(error).slice(0, maximumMessageCharacters),
			};
		}

		return {
			name: String(error.name),
			message: String(error.message).slice(0, maximumMessageCharacters),
			stack: String(error.stack)
				.split('\n', stackLimits.lines)
				.join('\n')
				.slice(0, stackLimits.characters),
		};
	} catch {
		return {name: typeof error, message: 'cannot be described'};
	}
}
