import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about targets, connections and streams. Numbers 2000 to 2999. */
export const targetEvents = {
	streamInterrupted: {
		number: 2000,
		name: 'stream-interrupted',
		level: 'info',
		description:
			'A generation stream stopped before its end. The target is pinged or the stream resumed.',
	},
	streamResumed: {
		number: 2001,
		name: 'stream-resumed',
		level: 'info',
		description:
			'A generation stream goes on from the next token on the same target.',
	},
	streamLost: {
		number: 2002,
		name: 'stream-lost',
		level: 'warn',
		description:
			'A generation stream cannot go on with its target. The request continues elsewhere where that is allowed.',
	},
	foreignEventDropped: {
		number: 2003,
		name: 'foreign-event-dropped',
		level: 'warn',
		description:
			'A stream carried an event of another request. If this repeats, check the target and what lies before it.',
	},
	duplicateEventDropped: {
		number: 2004,
		name: 'duplicate-event-dropped',
		level: 'debug',
		description: 'A stream carried a token that had arrived before.',
	},
	streamConflict: {
		number: 2005,
		name: 'stream-conflict',
		level: 'error',
		description:
			'A stream contradicts tokens that arrived before. The answer is refused. Check the version of the model on the target.',
	},
	connectionSilent: {
		number: 2006,
		name: 'connection-silent',
		level: 'warn',
		description:
			'A connection made no progress while a new one works. All connections to the target are replaced.',
	},
	targetSuspected: {
		number: 2007,
		name: 'target-suspected',
		level: 'warn',
		description:
			'A target does not answer a ping over a new connection. If it stays so, check the machine of the target.',
	},
	cancelFailed: {
		number: 2008,
		name: 'cancel-failed',
		level: 'debug',
		description:
			'A target did not confirm that it stopped a generation that nobody reads any more.',
	},
} as const satisfies Record<string, LogEventDefinition>;
