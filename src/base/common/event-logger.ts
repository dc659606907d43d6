/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A numbered kind of log event, listed in docs/events.md. */
export type LogEventDefinition = {
	readonly number: number;
	readonly name: string;
	readonly level: LogLevel;
	/** What happened and, where there is something to do, what to do. */
	readonly description: string;
};

/** Writes numbered events. Fields carry the ids and reasons; secrets never go into fields. */
export abstract class EventLogger {
	abstract record(
		event: LogEventDefinition,
		fields?: Readonly<Record<string, unknown>>,
	): void;
}

/** Drops all events. */
export class NullEventLogger extends EventLogger {
	record(): void {
		// Nothing to write.
	}
}
