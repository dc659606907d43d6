import {createLogger, format, transports, type Logger} from 'winston';
import {
	EventLogger,
	type LogEventDefinition,
	type LogLevel,
} from '../base/common/event-logger.js';

const redactedPlaceholder = '[redacted]';

/** Names of fields whose string values are never written. */
const secretNamePattern =
	/secret|token$|password|authorization|cookie|apikey|keydigest/i;

/** Bearer tokens within other values. */
const bearerPattern = /\bbearer\s+\S+/gi;

/** Options of a Winston event logger. */
export type WinstonEventLoggerOptions = {
	/** Events below this level are discarded. */
	readonly level: LogLevel;
	readonly format: 'json' | 'text';
	/** Literal secrets from the settings, redacted wherever they occur. */
	readonly secrets?: readonly string[];
	/** Fields that are added to every line, such as the host. */
	readonly fields?: Readonly<Record<string, unknown>>;
	/** Default: standard error. */
	readonly transport?: Logger['transports'][number];
};

/** Writes each event as one line through Winston and redacts secrets. */
export class WinstonEventLogger extends EventLogger {
	private readonly logger: Logger;
	private readonly secrets: readonly string[];

	constructor(options: WinstonEventLoggerOptions) {
		super();
		this.secrets = (options.secrets ?? []).filter((secret) => secret !== '');
		this.logger = createLogger({
			level: options.level,
			defaultMeta: options.fields,
			format: format.combine(
				format.timestamp(),
				options.format === 'json' ? format.json() : textFormat(),
			),
			transports: [
				options.transport ??
					new transports.Console({
						stderrLevels: ['debug', 'info', 'warn', 'error'],
					}),
			],
		});
	}

	record(
		event: LogEventDefinition,
		fields: Readonly<Record<string, unknown>> = {},
	): void {
		if (!this.logger.isLevelEnabled(event.level)) {
			return;
		}

		this.logger.log({
			level: event.level,
			message: event.name,
			event: event.number,
			fields: this.redact(fields, 0),
		});
	}

	private redact(value: unknown, depth: number): unknown {
		if (typeof value === 'string') {
			let text = value.replaceAll(
				bearerPattern,
				`Bearer ${redactedPlaceholder}`,
			);
			for (const secret of this.secrets) {
				text = text.replaceAll(secret, redactedPlaceholder);
			}

			return text;
		}

		if (value instanceof Error) {
			return this.redact(describeError(value), depth);
		}

		if (typeof value === 'bigint') {
			return value.toString();
		}

		if (typeof value !== 'object' || value === null) {
			return value;
		}

		// Bounds the size of a line and terminates on circular references.
		if (depth >= 6) {
			return '[nested]';
		}

		if (Array.isArray(value)) {
			return value.map((item) => this.redact(item, depth + 1));
		}

		return Object.fromEntries(
			Object.entries(value).map(([name, item]) => [
				name,
				secretNamePattern.test(name) && typeof item === 'string'
					? redactedPlaceholder
					: this.redact(item, depth + 1),
			]),
		);
	}
}

function describeError(error: Error): Record<string, unknown> {
	return {
		name: error.name,
		message: error.message,
		...(error.cause instanceof Error ? {cause: error.cause} : {}),
	};
}

function textFormat(): ReturnType<typeof format.printf> {
	return format.printf(({timestamp, level, message, event, fields}) => {
		const details = Object.entries((fields ?? {}) as Record<string, unknown>)
			.map(([name, value]) => `${name}=${JSON.stringify(value) ?? 'undefined'}`)
			.join(' ');
		return `${String(timestamp)} ${level.padEnd(5)} ${String(event)} ${String(message)} ${details}`.trimEnd();
	});
}
