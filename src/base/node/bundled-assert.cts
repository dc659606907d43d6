/** A condition that a library relies on does not hold. */
class FailedAssertionError extends Error {
	override readonly name = 'FailedAssertionError';
	readonly code = 'ERR_ASSERTION';
}

/**
 * Stands in for `node:assert` in the bundled program. For a failed assertion without a message, that of Node.js reads
 * and parses the source around it, which blocks the event loop for seconds in a minified bundle.
 */
function assert(
	condition: unknown,
	message?: string | Error,
): asserts condition {
	if (condition) {
		return;
	}

	throw message instanceof Error
		? message
		: new FailedAssertionError(message ?? 'a library assertion failed');
}

// Libraries call what `require` returns.
export = assert;
