import {type Result} from 'neverthrow';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {validateDocument} from '../core/document-validator.js';
import {readTextFile} from './settings-loader.js';
import {YamlSource, type YamlValidationError} from './yaml-validation.js';

/** Checks the text of a document. YAML includes JSON. */
export function parseDocumentText(
	text: string,
	file: string,
): Result<FleetDocument, YamlValidationError> {
	const source = new YamlSource(file, text);
	return source
		.content()
		.andThen((content) =>
			validateDocument(content).mapErr(({problems}) =>
				source.createError(problems),
			),
		);
}

/** Reads and checks a document file. */
export function loadDocument(
	file: string,
): Result<FleetDocument, YamlValidationError> {
	return readTextFile(file).andThen((text) => parseDocumentText(text, file));
}
