/** Levenshtein distance between two strings. */
function editDistance(left: string, right: string): number {
	let row = Array.from({length: right.length + 1}, (_, column) => column);
	for (let line = 1; line <= left.length; line++) {
		const next = [line];
		for (let column = 1; column <= right.length; column++) {
			const substitution =
				row[column - 1]! + (left[line - 1] === right[column - 1] ? 0 : 1);
			next.push(
				Math.min(row[column]! + 1, next[column - 1]! + 1, substitution),
			);
		}

		row = next;
	}

	return row[right.length]!;
}

function commonPrefixLength(left: string, right: string): number {
	let length = 0;
	while (length < left.length && left[length] === right[length]) {
		length++;
	}

	return length;
}

/**
 * Finds the known name that is most similar to a mistyped name, ignoring case.
 * A common prefix reduces the distance, because abbreviations are as frequent as typing errors.
 * Returns undefined when more than half of the characters differ, because such a hint would be misleading.
 */
export function nearestName(
	name: string,
	knownNames: readonly string[],
): string | undefined {
	let best: string | undefined;
	let bestDistance = Math.floor(name.length / 2) + 1;
	for (const candidate of knownNames) {
		const left = name.toLowerCase();
		const right = candidate.toLowerCase();
		const distance =
			editDistance(left, right) - commonPrefixLength(left, right);
		if (distance < bestDistance) {
			best = candidate;
			bestDistance = distance;
		}
	}

	return best;
}
