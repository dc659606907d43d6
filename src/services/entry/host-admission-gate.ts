import {err, ok, type Result} from 'neverthrow';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {CallerDirectory} from './caller-directory.js';
import {AdmissionGate} from './admission-gate.js';

const retryAfterSeconds = 1;

/** Admits requests while a document is in force, the document is known to be current, and no stop was requested. */
export class HostAdmissionGate extends AdmissionGate {
	private directory: CallerDirectory | undefined;
	private isStopping = false;
	private runningRequests = 0;
	private readonly idleWaiters: Array<() => void> = [];

	/** `isIsolated` returns true while this host cannot confirm that its document is current. */
	constructor(private readonly isIsolated: () => boolean) {
		super();
	}

	/** Number of running requests. */
	get inFlight(): number {
		return this.runningRequests;
	}

	/** True while new requests are admitted. */
	get isAdmitting(): boolean {
		return this.admit().isOk();
	}

	/** Puts a document in force for new requests. Running requests keep the document that they started with. */
	applyDocument(document: FleetDocument): void {
		this.directory = new CallerDirectory(document);
	}

	/** Refuses all further requests. */
	stop(): void {
		this.isStopping = true;
	}

	/** Resolves once no request is running. */
	async waitUntilIdle(): Promise<void> {
		if (this.runningRequests === 0) {
			return;
		}

		await new Promise<void>((resolve) => {
			this.idleWaiters.push(resolve);
		});
	}

	admit(): Result<CallerDirectory, RequestProblem> {
		if (this.isStopping) {
			return err(
				new RequestProblem(
					'stopping',
					'This entry server is stopping. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		if (!this.directory) {
			return err(
				new RequestProblem(
					'stale-configuration',
					'This entry server has no configuration yet. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		// Checked for each request: a host that resumes after a freeze must not serve an old document until its next tick.
		if (this.isIsolated()) {
			return err(
				new RequestProblem(
					'stale-configuration',
					'This entry server cannot confirm that its configuration is current. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		return ok(this.directory);
	}

	trackRequest(): () => void {
		this.runningRequests += 1;
		let isRunning = true;
		return () => {
			if (!isRunning) {
				return;
			}

			isRunning = false;
			this.runningRequests -= 1;
			if (this.runningRequests === 0) {
				for (const resolve of this.idleWaiters.splice(0)) {
					resolve();
				}
			}
		};
	}
}
