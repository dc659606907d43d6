/** Exit codes of the program, with the text for the help and docs/OPERATIONS.md. */
export const exitCodes = {
	success: {code: 0, meaning: 'success'},
	failure: {code: 1, meaning: 'a failure that is not foreseen'},
	usage: {code: 2, meaning: 'wrong use of the command line'},
	invalid: {code: 3, meaning: 'invalid settings, document or request'},
	conflict: {
		code: 4,
		meaning: 'conflict: another operator submitted a document first',
	},
	unauthenticated: {code: 5, meaning: 'missing or unknown operator token'},
	unavailable: {
		code: 6,
		meaning: 'the host or the log service cannot be reached',
	},
	notFound: {code: 7, meaning: 'there is no such order or document'},
} as const;

/** Name of an exit code. */
export type ExitCodeName = keyof typeof exitCodes;

/** A command that failed, what to do about it, and the exit code. */
export class CommandFailure extends Error {
	override readonly name = 'CommandFailure';

	constructor(
		readonly exitCodeName: ExitCodeName,
		message: string,
		/** What the operator can do. */
		readonly remedy?: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** The exit codes as text, one a line. */
export function formatExitCodes(): string {
	return Object.values(exitCodes)
		.map(({code, meaning}) => `  ${code}  ${meaning}`)
		.join('\n');
}
