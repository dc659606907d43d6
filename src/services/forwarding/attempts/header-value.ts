/** Returns the first value of a header, given the lower-case name. */
export function headerValue(
	rawHeaders: readonly string[],
	name: string,
): string | undefined {
	const index = rawHeaders.findIndex(
		(header, position) => position % 2 === 0 && header.toLowerCase() === name,
	);
	return index === -1 ? undefined : rawHeaders[index + 1];
}
