import {err, ok, type Result} from 'neverthrow';
import {type FleetDocument} from '../../contracts/fleet-document.js';
import {RequestProblem} from '../../contracts/request-problem.js';
import {CallerDirectory} from './caller-directory.js';
import {AdmissionGate} from './admission-gate.js';

const retryAfterSeconds = 1;

/** The gate of one host: open while a document is in force, it is known to be fresh, and no stop was asked for. */
export class HostAdmissionGate extends AdmissionGate {
	private directory: CallerDirectory | undefined;
	private isStopping = false;
	private requests = 0;
	private readonly idleWaiters: Array<() => void> = [];

	/** `isIsolated` tells whether the host may hold an old document. */
	constructor(private readonly isIsolated: () => boolean) {
		super();
	}

	/** Requests that are running. */
	get inFlight(): number {
		return this.requests;
	}

	/** True when new work is taken. */
	get isAdmitting(): boolean {
		return this.admit().isOk();
	}

	/** Puts a document in force for new requests. Running ones keep theirs. */
	applyDocument(document: FleetDocument): void {
		this.directory = new CallerDirectory(document);
	}

	/** Takes no new work from now on. */
	stop(): void {
		this.isStopping = true;
	}

	/** Resolves when no request is running. */
	async waitUntilIdle(): Promise<void> {
		if (this.requests === 0) {
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
					'This entry is stopping. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		if (!this.directory) {
			return err(
				new RequestProblem(
					'stale-configuration',
					'This entry has no configuration yet. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		// Asked at each request: a host that was frozen must not serve an old document until its next tick.
		if (this.isIsolated()) {
			return err(
				new RequestProblem(
					'stale-configuration',
					'This entry cannot confirm its configuration. Send the request again.',
					'not-run',
					retryAfterSeconds,
				),
			);
		}

		return ok(this.directory);
	}

	trackRequest(): () => void {
		this.requests += 1;
		let isInside = true;
		return () => {
			if (!isInside) {
				return;
			}

			isInside = false;
			this.requests -= 1;
			if (this.requests === 0) {
				for (const resolve of this.idleWaiters.splice(0)) {
					resolve();
				}
			}
		};
	}
}
