import {canonicalJson} from '../../base/common/digest.js';
import {type FleetDocument} from '../../contracts/fleet-document.js';

/** A difference between two documents. */
export type DocumentDifference = {
	readonly kind: 'added' | 'removed' | 'changed';
	/** Path of keys and entry names, for example `models "drafts" bytes`. */
	readonly path: string;
	readonly before?: unknown;
	readonly after?: unknown;
};

type DocumentObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is DocumentObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the name that identifies a list entry in both documents. Key digests are shortened to 12 characters. */
function entryName(value: unknown): string {
	if (!isObject(value)) {
		return typeof value === 'string' && /^[\da-f]{64}$/.test(value)
			? `${value.slice(0, 12)}…`
			: String(value);
	}

	const name = value.name ?? value.id;
	return typeof name === 'string'
		? name
		: `${String(value.method)} ${String(value.pathPrefix)}`;
}

function compareLists(
	before: readonly unknown[],
	after: readonly unknown[],
	path: string,
): DocumentDifference[] {
	const beforeByName = new Map(
		before.map((value) => [entryName(value), value]),
	);
	const afterByName = new Map(after.map((value) => [entryName(value), value]));
	return [
		...[...beforeByName]
			.filter(([name]) => !afterByName.has(name))
			.map(([name, value]): DocumentDifference => ({
				kind: 'removed',
				path: `${path} "${name}"`,
				before: value,
			})),
		...[...afterByName].flatMap(([name, value]): DocumentDifference[] =>
			beforeByName.has(name)
				? compareValues(beforeByName.get(name), value, `${path} "${name}"`)
				: [{kind: 'added', path: `${path} "${name}"`, after: value}],
		),
	];
}

function compareValues(
	before: unknown,
	after: unknown,
	path: string,
): DocumentDifference[] {
	if (canonicalJson(before) === canonicalJson(after)) {
		return [];
	}

	if (Array.isArray(before) && Array.isArray(after)) {
		return compareLists(before, after, path);
	}

	if (isObject(before) && isObject(after)) {
		const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
		return keys.flatMap((key) =>
			compareValues(
				before[key],
				after[key],
				path === '' ? key : `${path} ${key}`,
			),
		);
	}

	if (before === undefined) {
		return [{kind: 'added', path, after}];
	}

	return after === undefined
		? [{kind: 'removed', path, before}]
		: [{kind: 'changed', path, before, after}];
}

/**
 * Lists the differences between two documents. List entries are matched by name, so their order is irrelevant.
 * Without an earlier document, all entries count as added.
 */
export function compareDocuments(
	before: FleetDocument | undefined,
	after: FleetDocument,
): DocumentDifference[] {
	return compareValues(
		before ??
			Object.fromEntries(
				Object.entries(after)
					.filter(([, value]) => Array.isArray(value))
					.map(([key]) => [key, []]),
			),
		after,
		'',
	);
}

function formatValue(value: unknown): string {
	const text = canonicalJson(value);
	return text.length > 120 ? `${text.slice(0, 119)}…` : text;
}

/** Formats one difference per line: `+` added, `-` removed, `~` changed. Values are cut to 120 characters. */
export function formatDifferences(
	changes: readonly DocumentDifference[],
): string {
	return changes
		.map((change) => {
			if (change.kind === 'changed') {
				return `~ ${change.path}: ${formatValue(change.before)} -> ${formatValue(change.after)}`;
			}

			return change.kind === 'added'
				? `+ ${change.path}: ${formatValue(change.after)}`
				: `- ${change.path}`;
		})
		.join('\n');
}
