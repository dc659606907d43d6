import {CallerResponse} from './caller-response.js';

/** The response to a request that is only described and never sent. */
export class UnsentResponse extends CallerResponse {
	readonly hasStarted = false;
	readonly isEnded = false;
	readonly unsentBytes = 0;

	send(): void {
		// There is no caller.
	}

	sendUnframed(): void {
		// There is no caller.
	}

	sendOwn(): void {
		// There is no caller.
	}

	startStream(): void {
		// There is no caller.
	}

	write(): void {
		// There is no caller.
	}

	waitForDrain(): boolean {
		return false;
	}

	end(): void {
		// There is no caller.
	}

	abort(): void {
		// There is no caller.
	}
}
