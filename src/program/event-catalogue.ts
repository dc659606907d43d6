import {readdir} from 'node:fs/promises';
import {z} from 'zod';
import {type LogEventDefinition} from '../base/common/event-logger.js';

/** First and last event number of each file in src/contracts/events. */
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

/** The events that one file defines. */
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

/** Imports all event files of a directory of sources from their compiled form. */
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

/** Faults of the numbering: repeated numbers or names, and numbers outside the range of their file. */
export function findCatalogueErrors(files: readonly EventFile[]): string[] {
	const faults: string[] = [];
	const numbers = new Map<number, string>();
	const names = new Map<string, number>();
	for (const {name: file, events} of files) {
		const range = eventRanges[file];
		if (!range) {
			faults.push(`${file} has no range in src/program/event-catalogue.ts`);
			continue;
		}

		for (const {number, name} of events) {
			if (number < range.first || number > range.first + 999) {
				faults.push(
					`${number} ${name} of ${file} is not between ${range.first} and ${range.first + 999}`,
				);
			}

			if (numbers.has(number)) {
				faults.push(`${number} is both ${numbers.get(number)} and ${name}`);
			}

			if (names.has(name)) {
				faults.push(`${name} is both ${names.get(name)} and ${number}`);
			}

			numbers.set(number, name);
			names.set(name, number);
		}
	}

	return faults;
}

/** The catalogue as Markdown. */
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
