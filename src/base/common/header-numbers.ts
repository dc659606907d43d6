/** Parses a non-negative integer of at most 15 digits, which a number represents exactly. */
export function parseCount(text: string | undefined): number | undefined {
	if (text === undefined || !/^\s*\d{1,15}\s*$/.test(text)) {
		return undefined;
	}

	return Number(text);
}

/** Parses the decimal numbers of a header. Values of another form are ignored. */
export function parseDecimals(value: string | string[] | undefined): number[] {
	return [value ?? []]
		.flat()
		.flatMap((text) => text.split(','))
		.map((text) => text.trim())
		.filter((text) => /^\d{1,9}(?:\.\d{1,9})?$/.test(text))
		.map(Number);
}
