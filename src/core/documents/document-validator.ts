import {err, ok, type Result} from 'neverthrow';
import {
	fleetDocumentSchema,
	type FleetDocument,
	type Model,
	type Pool,
} from '../../contracts/fleet-document.js';
import {packMemory} from '../placement/memory-packing.js';
import {nearestName} from './nearest-name.js';
import {
	formatPath,
	toSchemaProblems,
	type SchemaProblem,
	type ValuePath,
} from './schema-problems.js';

/** Semantic checks of a document beyond its schema. They must be deterministic: every host runs them when it applies a control record, and all hosts must reach the same result. */
export abstract class DocumentValidator {
	/** Returns the problems found, each with its path in the document. Empty for a valid document. */
	abstract findProblems(document: FleetDocument): readonly string[];
}

/** Performs no checks beyond the schema. */
export class SchemaOnlyDocumentValidator extends DocumentValidator {
	findProblems(): readonly string[] {
		return [];
	}
}

/** Checks for duplicate names, unknown references, wrong kinds of pools and insufficient memory. */
export class SemanticDocumentValidator extends DocumentValidator {
	findProblems(document: FleetDocument): readonly string[] {
		return findSemanticProblems(document).map(
			({path, message}) => `${formatPath(path)}: ${message}`,
		);
	}
}

/** A document is invalid. The message lists all problems, one per line. */
export class DocumentValidationError extends Error {
	override readonly name = 'DocumentValidationError';

	constructor(readonly problems: readonly SchemaProblem[]) {
		super(
			problems
				.map(({path, message}) => `${formatPath(path)}: ${message}`)
				.join('\n'),
		);
	}
}

/** Validates a document against its schema and then semantically. Returns the parsed document, or all problems of the first stage that failed. */
export function validateDocument(
	input: unknown,
): Result<FleetDocument, DocumentValidationError> {
	const parsed = fleetDocumentSchema.safeParse(input);
	if (!parsed.success) {
		return err(
			new DocumentValidationError(
				toSchemaProblems(fleetDocumentSchema, parsed.error.issues),
			),
		);
	}

	const problems = findSemanticProblems(parsed.data);
	return problems.length === 0
		? ok(parsed.data)
		: err(new DocumentValidationError(problems));
}

/** Finds the semantic problems of a document that matches its schema. */
export function findSemanticProblems(document: FleetDocument): SchemaProblem[] {
	return [
		...findDuplicateProblems(document),
		...findReferenceProblems(document),
		...findPoolProblems(document),
		...findMemoryProblems(document),
	];
}

type NamedEntry = {readonly name: string; readonly path: ValuePath};

/** Reports each duplicate name, with the path of its first use. */
function findDuplicates(
	kind: string,
	entries: readonly NamedEntry[],
): SchemaProblem[] {
	const first = new Map<string, ValuePath>();
	const problems: SchemaProblem[] = [];
	for (const {name, path} of entries) {
		const earlier = first.get(name);
		if (earlier) {
			problems.push({
				path,
				message: `${kind} "${name}" is already used at ${formatPath(earlier)}`,
			});
		} else {
			first.set(name, path);
		}
	}

	return problems;
}

function toNamedEntries<T>(
	items: readonly T[],
	prefix: ValuePath,
	field: string,
	nameOf: (item: T) => string,
): NamedEntry[] {
	return items.map((item, index) => ({
		name: nameOf(item),
		path: [...prefix, index, field],
	}));
}

function findDuplicateProblems(document: FleetDocument): SchemaProblem[] {
	const targets = document.pools.flatMap((pool, index) =>
		pool.targets.map((target, position) => ({
			target,
			path: ['pools', index, 'targets', position] as const,
		})),
	);
	const digests = document.callers.flatMap((caller, index) =>
		caller.keyDigests.map((name, position) => ({
			name,
			path: ['callers', index, 'keyDigests', position],
		})),
	);
	return [
		...findDuplicates(
			'pool',
			toNamedEntries(document.pools, ['pools'], 'name', ({name}) => name),
		),
		...findDuplicates(
			'target',
			targets.map(({target, path}) => ({
				name: target.id,
				path: [...path, 'id'],
			})),
		),
		...findDuplicates(
			'address',
			targets.map(({target, path}) => ({
				name: target.address,
				path: [...path, 'address'],
			})),
		),
		...findDuplicates(
			'model',
			toNamedEntries(document.models, ['models'], 'id', ({id}) => id),
		),
		...findDuplicates(
			'adapter',
			toNamedEntries(document.adapters, ['adapters'], 'id', ({id}) => id),
		),
		...findDuplicates(
			'offering',
			toNamedEntries(
				document.offerings,
				['offerings'],
				'name',
				({name}) => name,
			),
		),
		...findDuplicates(
			'service',
			toNamedEntries(document.services, ['services'], 'name', ({name}) => name),
		),
		...document.services.flatMap((service, index) =>
			findDuplicates(
				'route',
				toNamedEntries(
					service.routes,
					['services', index, 'routes'],
					'pathPrefix',
					(route) => `${route.method} ${route.pathPrefix}`,
				),
			),
		),
		...findDuplicates(
			'caller class',
			toNamedEntries(
				document.callerClasses,
				['callerClasses'],
				'name',
				({name}) => name,
			),
		),
		...findDuplicates(
			'caller',
			toNamedEntries(document.callers, ['callers'], 'id', ({id}) => id),
		),
		...findDuplicates('key digest', digests),
	];
}

/** Reports a reference to an unknown name and suggests the nearest known name. */
function findUnknownReference(
	kind: string,
	name: string,
	knownNames: ReadonlySet<string>,
	path: ValuePath,
): SchemaProblem[] {
	if (knownNames.has(name)) {
		return [];
	}

	const nearest = nearestName(name, [...knownNames]);
	const hint = nearest ? `; did you mean "${nearest}"?` : '';
	return [{path, message: `there is no ${kind} "${name}"${hint}`}];
}

function findReferenceProblems(document: FleetDocument): SchemaProblem[] {
	const pools = new Set<string>(document.pools.map(({name}) => name));
	const models = new Set<string>(document.models.map(({id}) => id));
	const adapters = new Map(
		document.adapters.map((adapter) => [adapter.id, adapter]),
	);
	const offerings = new Set<string>(document.offerings.map(({name}) => name));
	const services = new Set<string>(document.services.map(({name}) => name));
	const classes = new Set<string>(document.callerClasses.map(({name}) => name));
	return [
		...document.models.flatMap((model, index) =>
			findUnknownReference('pool', model.pool, pools, [
				'models',
				index,
				'pool',
			]),
		),
		...document.adapters.flatMap((adapter, index) =>
			findUnknownReference('model', adapter.model, models, [
				'adapters',
				index,
				'model',
			]),
		),
		...document.offerings.flatMap((offering, index) => {
			const path = ['offerings', index];
			const problems = findUnknownReference('model', offering.model, models, [
				...path,
				'model',
			]);
			if (offering.adapter === undefined) {
				return problems;
			}

			const adapter = adapters.get(offering.adapter);
			if (adapter && adapter.model !== offering.model) {
				problems.push({
					path: [...path, 'adapter'],
					message: `adapter "${adapter.id}" extends model "${adapter.model}", not "${offering.model}"`,
				});
			}

			return [
				...problems,
				...findUnknownReference(
					'adapter',
					offering.adapter,
					new Set(adapters.keys()),
					[...path, 'adapter'],
				),
			];
		}),
		...document.services.flatMap((service, index) =>
			findUnknownReference('pool', service.pool, pools, [
				'services',
				index,
				'pool',
			]),
		),
		...document.callers.flatMap((caller, index) => [
			...findUnknownReference('caller class', caller.class, classes, [
				'callers',
				index,
				'class',
			]),
			...caller.offerings.flatMap((name, position) =>
				findUnknownReference('offering', name, offerings, [
					'callers',
					index,
					'offerings',
					position,
				]),
			),
			...caller.services.flatMap((name, position) =>
				findUnknownReference('service', name, services, [
					'callers',
					index,
					'services',
					position,
				]),
			),
		]),
	];
}

function findPoolProblems(document: FleetDocument): SchemaProblem[] {
	const kindByPool = new Map(
		document.pools.map(({name, kind}) => [name, kind]),
	);
	return [
		...document.pools.flatMap((pool, index) =>
			pool.kind === 'engine'
				? pool.targets.flatMap((target, position) =>
						target.memoryBytes > 0
							? []
							: [
									{
										path: ['pools', index, 'targets', position, 'memoryBytes'],
										message: `target "${target.id}" of an engine pool needs memory`,
									},
								],
					)
				: [],
		),
		...document.models.flatMap((model, index) =>
			kindByPool.get(model.pool) === 'service'
				? [
						{
							path: ['models', index, 'pool'],
							message: `pool "${model.pool}" holds plain services; a model needs an engine pool`,
						},
					]
				: [],
		),
		...document.services.flatMap((service, index) =>
			kindByPool.get(service.pool) === 'engine'
				? [
						{
							path: ['services', index, 'pool'],
							message: `pool "${service.pool}" holds engines; a service needs a service pool`,
						},
					]
				: [],
		),
	];
}

function findMemoryProblems(document: FleetDocument): SchemaProblem[] {
	return document.pools
		.filter(({kind}) => kind === 'engine')
		.flatMap((pool) => findPoolMemoryProblems(document, pool));
}

function findPoolMemoryProblems(
	document: FleetDocument,
	pool: Pool,
): SchemaProblem[] {
	const problems: SchemaProblem[] = [];
	const largestBytes = Math.max(
		...pool.targets.map(({memoryBytes}) => memoryBytes),
	);
	const fitting: Array<{readonly model: Model; readonly index: number}> = [];
	for (const [index, model] of document.models.entries()) {
		if (model.pool !== pool.name) {
			continue;
		}

		if (model.bytes > largestBytes) {
			problems.push({
				path: ['models', index, 'bytes'],
				message: `model "${model.id}" takes ${model.bytes} bytes, but the largest target of pool "${pool.name}" has ${largestBytes}`,
			});
			continue;
		}

		const eligibleTargets = pool.targets.filter(
			({memoryBytes}) => memoryBytes >= model.bytes,
		).length;
		if (model.minimumReplicas > eligibleTargets) {
			problems.push({
				path: ['models', index, 'minimumReplicas'],
				message: `model "${model.id}" needs ${model.minimumReplicas} targets, but only ${eligibleTargets} of pool "${pool.name}" can hold it`,
			});
			continue;
		}

		fitting.push({model, index});
	}

	const oversized = new Set<string>();
	for (const {model} of fitting) {
		for (const [index, adapter] of document.adapters.entries()) {
			if (
				adapter.model === model.id &&
				model.bytes + adapter.bytes > largestBytes
			) {
				oversized.add(adapter.id);
				problems.push({
					path: ['adapters', index, 'bytes'],
					message: `adapter "${adapter.id}" takes ${adapter.bytes} bytes and fits on no target of pool "${pool.name}" beside its model "${model.id}"`,
				});
			}
		}
	}

	const packing = packMemory(
		pool.targets.map(({id, memoryBytes}) => ({id, bytes: memoryBytes})),
		fitting.map(({model}) => ({
			id: model.id,
			bytes: model.bytes,
			replicas: model.minimumReplicas,
			adapters: document.adapters.filter(
				({id, model: base}) => base === model.id && !oversized.has(id),
			),
		})),
	);
	const totalBytes = pool.targets.reduce(
		(sum, {memoryBytes}) => sum + memoryBytes,
		0,
	);
	const capacity = `the ${totalBytes} bytes of pool "${pool.name}" together with the other models and adapters`;
	return [
		...problems,
		...packing.unplacedModels.map((id) => ({
			path: ['models', document.models.findIndex((model) => model.id === id)],
			message: `model "${id}" does not fit into ${capacity}`,
		})),
		...packing.unplacedAdapters.map((id) => ({
			path: [
				'adapters',
				document.adapters.findIndex((adapter) => adapter.id === id),
			],
			message: `adapter "${id}" does not fit beside its model into ${capacity}`,
		})),
	];
}
