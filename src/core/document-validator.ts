import {type FleetDocument} from '../contracts/fleet-document.js';

/** Semantic checks of a document beyond its schema. Deterministic, because every host runs them in the fold. */
export abstract class DocumentValidator {
	/** Returns the problems found, each with its place in the document. Empty for a valid document. */
	abstract problems(document: FleetDocument): readonly string[];
}

/** Applies no check beyond the schema. */
export class SchemaOnlyDocumentValidator extends DocumentValidator {
	problems(): readonly string[] {
		return [];
	}
}
