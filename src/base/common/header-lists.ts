/** Returns names of headers in lower case. */
export function lowerCaseNames(names: readonly string[]): Set<string> {
	return new Set(names.map((name) => name.toLowerCase()));
}

/** Hop-by-hop headers, which apply to one connection only and are not forwarded. */
export const hopByHopNames: ReadonlySet<string> = lowerCaseNames([
	'Connection',
	'Keep-Alive',
	'Proxy-Connection',
	'Proxy-Authenticate',
	'Proxy-Authorization',
	'TE',
	'Trailer',
	'Transfer-Encoding',
	'Upgrade',
	'Expect',
]);

/** Returns the lower-case names of the headers that the Connection headers list. Headers are alternating names and values. */
export function connectionHeaderNames(
	rawHeaders: readonly string[],
): Set<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() !== 'connection') {
			continue;
		}

		for (const name of rawHeaders[index + 1]!.split(',')) {
			names.add(name.trim().toLowerCase());
		}
	}

	return names;
}

/** Returns alternating names and values without the headers of some lower-case names. */
export function withoutHeaders(
	rawHeaders: readonly string[],
	names: ReadonlySet<string>,
): string[] {
	const kept: string[] = [];
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (!names.has(rawHeaders[index]!.toLowerCase())) {
			kept.push(rawHeaders[index]!, rawHeaders[index + 1]!);
		}
	}

	return kept;
}

/** Returns headers as alternating names and values, without those of some lower-case names. */
export function flattenHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
	hiddenNames: ReadonlySet<string>,
): string[] {
	const flat: string[] = [];
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || hiddenNames.has(name)) {
			continue;
		}

		for (const single of Array.isArray(value) ? value : [value]) {
			flat.push(name, single);
		}
	}

	return flat;
}
