import {type Result} from 'neverthrow';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type CallerDirectory} from './caller-directory.js';

/** Decides whether this host accepts new requests, and against which revision of the document. */
export abstract class AdmissionGate {
	/** Returns the directory of the document in force, or the problem with which the host refuses new requests. */
	abstract admit(): Result<CallerDirectory, RequestProblem>;

	/** Counts a request as running until the returned function is called, so that a planned stop can wait for it. */
	abstract trackRequest(): () => void;
}
