/** Number of single-character edits that turn one text into the other. */
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
 * Finds the known name that a mistyped name most likely stands for.
 * A common prefix counts in favour, since abbreviations are as frequent as slips.
 * Nothing is returned when more than half of the characters differ, since such a hint misleads.
 */
export function nearestName(
	name: string,
	known: readonly string[],
): string | undefined {
	let best: string | undefined;
	let bestDistance = Math.floor(name.length / 2) + 1;
	for (const candidate of known) {
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
