import {readdir} from 'node:fs/promises';
import {z} from 'zod';
import {type LogEventDefinition} from '../base/common/event-logger.js';

/** First event number and title of each file in src/contracts/events. Each range has 1000 numbers. */
export const eventRanges: Readonly<
	Record<string, {readonly first: number; readonly title: string}>
> = {
	'agreement-events': {
		first: 1000,
		title: 'Log, leases, snapshots and membership',
	},
	'target-events': {first: 2000, title: 'Targets, connections and streams'},
	'dispatch-events': {first: 3000, title: 'Queueing, routing and admission'},
	'placement-events': {first: 4000, title: 'Placement, orders and memory'},
	'operator-events': {first: 5000, title: 'Operators, settings and program'},
	'forwarding-events': {
		first: 7000,
		title: 'Forwarding, the shared store and the owner of placement',
	},
	'entry-events': {
		first: 6000,
		title: 'Callers, idempotency keys and quarantine',
	},
};

/** Events defined by one file of src/contracts/events. */
export type EventFile = {
	readonly name: string;
	readonly events: readonly LogEventDefinition[];
};

const definitionSchema = z.record(
	z.string(),
	z.strictObject({
		number: z.number().int(),
		name: z.string().regex(/^[a-z]+(?:-[a-z\d]+)*$/),
		level: z.enum(['debug', 'info', 'warn', 'error']),
		description: z.string().min(10),
	}),
);

/** Loads the compiled form of all event files of a source directory, in the order of their ranges. Throws when a definition is malformed. */
export async function loadEventFiles(
	sourceDirectory: string,
	compiledDirectory: URL,
): Promise<readonly EventFile[]> {
	const files = await readdir(sourceDirectory);
	const names = files
		.filter((file) => file.endsWith('.ts'))
		.map((file) => file.slice(0, -3))
		.sort(
			(left, right) =>
				(eventRanges[left]?.first ?? 0) - (eventRanges[right]?.first ?? 0),
		);
	return Promise.all(
		names.map(async (name) => {
			const module = (await import(
				new URL(`${name}.js`, compiledDirectory).href
			)) as Record<string, unknown>;
			return {
				name,
				events: Object.values(module).flatMap((exported) =>
					Object.values(definitionSchema.parse(exported)),
				),
			};
		}),
	);
}

/** Returns a message for each numbering error: a duplicate number or name, a number outside the range of its file, or a file without a range. */
export function findCatalogueErrors(files: readonly EventFile[]): string[] {
	const errors: string[] = [];
	const numbers = new Map<number, string>();
	const names = new Map<string, number>();
	for (const {name: file, events} of files) {
		const range = eventRanges[file];
		if (!range) {
			errors.push(`${file} has no range in src/program/event-catalogue.ts`);
			continue;
		}

		for (const {number, name} of events) {
			if (number < range.first || number > range.first + 999) {
				errors.push(
					`${number} ${name} of ${file} is not between ${range.first} and ${range.first + 999}`,
				);
			}

			if (numbers.has(number)) {
				errors.push(`${number} is both ${numbers.get(number)} and ${name}`);
			}

			if (names.has(name)) {
				errors.push(`${name} is both ${names.get(name)} and ${number}`);
			}

			numbers.set(number, name);
			names.set(name, number);
		}
	}

	return errors;
}

/** Renders the catalogue as Markdown. */
export function renderCatalogue(files: readonly EventFile[]): string {
	const sections = files.map(({name, events}) => {
		const {first, title} = eventRanges[name] ?? {first: 0, title: name};
		const rows = [...events]
			.sort((left, right) => left.number - right.number)
			.map(
				(event) =>
					`| ${event.number} | ${event.name} | ${event.level} | ${event.description.replaceAll('|', String.raw`\|`)} |`,
			);
		const table =
			rows.length === 0
				? ['No events yet.']
				: [
						'| number | name | level | description |',
						'| ------ | ---- | ----- | ----------- |',
						...rows,
					];
		return [`## ${title} (${first} to ${first + 999})`, '', ...table].join(
			'\n',
		);
	});
	return `${[
		'# Log events',
		'Each line of the log carries the number and name of its event. `npm run events` writes this page from src/contracts/events; test/product/event-catalogue.test.ts holds it true.',
		...sections,
	].join('\n\n')}\n`;
}
