/** Severity of a log event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A kind of log event. The catalogue in docs/events.md is generated from these definitions. */
export type LogEventDefinition = {
	/** Unique and stable. Each file of definitions has its own range. */
	readonly number: number;
	readonly name: string;
	readonly level: LogLevel;
	/** What happened and, where an operator can act, what to do. */
	readonly description: string;
};

/** Writes structured log events. */
export abstract class EventLogger {
	/** Logs an event. The fields carry ids and reasons and must not contain secrets. */
	abstract record(
		event: LogEventDefinition,
		fields?: Readonly<Record<string, unknown>>,
	): void;
}

/** Discards all events. */
export class NullEventLogger extends EventLogger {
	record(): void {
		// Events are discarded.
	}
}
