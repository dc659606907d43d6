import {type SeededRandomSource} from '../../src/base/common/random-source.js';

/** Returns a copy of JSON data in which each object has a field that no build knows, with a value of any kind. */
export function withUnknownFields(
	value: unknown,
	random: SeededRandomSource,
): unknown {
	if (Array.isArray(value)) {
		return value.map((item: unknown) => withUnknownFields(item, random));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	const entries = Object.entries(value).map(
		([key, item]) => [key, withUnknownFields(item, random)] as const,
	);
	// The order of fields tells nothing.
	entries.splice(random.integer(entries.length + 1), 0, [
		`later_${random.integer(1000)}`,
		unknownValue(random),
	]);
	return Object.fromEntries(entries);
}

function unknownValue(random: SeededRandomSource): unknown {
	const values: unknown[] = [
		null,
		true,
		-1.5,
		'text',
		[],
		['text', 1],
		{},
		{kind: 'claimed', version: 2},
	];
	return values[random.integer(values.length)];
}
