import {type Result} from 'neverthrow';
import {type FleetDocument} from '../contracts/fleet-document.js';
import {validateDocument} from '../core/documents/document-validator.js';
import {readTextFile} from './settings-loader.js';
import {YamlSource, type YamlValidationError} from './yaml-validation.js';

/** Validates the text of an operators' document in YAML, of which JSON is a subset. Fails with all errors. */
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

/** Reads and validates the file of an operators' document. Fails with all errors of the file. */
export function loadDocument(
	file: string,
): Result<FleetDocument, YamlValidationError> {
	return readTextFile(file).andThen((text) => parseDocumentText(text, file));
}
