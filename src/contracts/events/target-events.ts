import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about targets, connections and streams. Numbers 2000 to 2999. */
export const targetEvents = {
	streamInterrupted: {
		number: 2000,
		name: 'stream-interrupted',
		level: 'info',
		description:
			'A generation stream stopped before its end. The host pings the target or resumes the stream.',
	},
	streamResumed: {
		number: 2001,
		name: 'stream-resumed',
		level: 'info',
		description:
			'A generation stream resumed on the same target from the next token.',
	},
	streamLost: {
		number: 2002,
		name: 'stream-lost',
		level: 'warn',
		description:
			'A generation stream cannot be resumed on its target. The request continues on another target where that is allowed.',
	},
	foreignEventDropped: {
		number: 2003,
		name: 'foreign-event-dropped',
		level: 'warn',
		description:
			'A stream contained an event of another request. If this happens repeatedly, check the target and the proxies in front of it.',
	},
	duplicateEventDropped: {
		number: 2004,
		name: 'duplicate-event-dropped',
		level: 'debug',
		description: 'A stream contained a token that had already been received.',
	},
	streamConflict: {
		number: 2005,
		name: 'stream-conflict',
		level: 'error',
		description:
			'A stream contradicts tokens that were received before. The response is discarded. Check the version of the model on the target.',
	},
	connectionSilent: {
		number: 2006,
		name: 'connection-silent',
		level: 'warn',
		description:
			'A connection to a target made no progress, but a new connection works. All connections to the target are replaced.',
	},
	targetSuspected: {
		number: 2007,
		name: 'target-suspected',
		level: 'warn',
		description:
			'A target does not respond to a ping over a new connection. Check the machine of the target if the condition persists.',
	},
	cancelFailed: {
		number: 2008,
		name: 'cancel-failed',
		level: 'debug',
		description:
			'A target did not confirm the cancellation of a generation that no caller reads any more.',
	},
} as const satisfies Record<string, LogEventDefinition>;
