/** Exit codes of the program and their meanings, as listed in the help and in docs/OPERATIONS.md. */
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
	unknownSubject: {
		code: 8,
		meaning: 'the host knows no such route, model or customer',
	},
} as const;

/** Key of an exit code in `exitCodes`. */
export type ExitCodeName = keyof typeof exitCodes;

/** Failure of a command, with its exit code and a remedy if there is one. */
export class CommandFailure extends Error {
	override readonly name = 'CommandFailure';

	constructor(
		readonly exitCodeName: ExitCodeName,
		message: string,
		/** Action by which the operator can resolve the failure. */
		readonly remedy?: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}

/** Formats the exit codes for the help, one per line. */
export function formatExitCodes(): string {
	return Object.values(exitCodes)
		.map(({code, meaning}) => `  ${code}  ${meaning}`)
		.join('\n');
}
