import {type Result} from 'neverthrow';
import {type RequestProblem} from '../../contracts/request-problem.js';
import {type CallerDirectory} from './caller-directory.js';

/** Says whether the host takes new work, and against which revision of the document. */
export abstract class AdmissionGate {
	/** Returns the lookup tables of the document in force, or why the host takes no work. */
	abstract admit(): Result<CallerDirectory, RequestProblem>;

	/** Notes that a request began. The returned function notes its end, so that a planned stop can wait for it. */
	abstract trackRequest(): () => void;
}
