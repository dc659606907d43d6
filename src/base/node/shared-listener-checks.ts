import {hasListenerEnded} from './connection-probe.js';

type SharedCheck = {
	readonly running: Promise<boolean>;
	/** Begins when the running one has ended. */
	next: Promise<boolean> | undefined;
};

/** Checks listeners on behalf of several callers: one connection at a time is opened to an address, and each caller gets the result of a check that began after its call. */
export class SharedListenerChecks {
	private readonly checks = new Map<string, SharedCheck>();

	/** Finds out whether the listener at an address has ended, like the function `hasListenerEnded`. */
	async hasEnded(
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		const check = this.checks.get(address);
		if (!check) {
			return this.start(address, timeoutMilliseconds);
		}

		check.next ??= this.startAfter(check, address, timeoutMilliseconds);
		return check.next;
	}

	private async startAfter(
		{running}: SharedCheck,
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		await running;
		return this.start(address, timeoutMilliseconds);
	}

	private async start(
		address: string,
		timeoutMilliseconds: number,
	): Promise<boolean> {
		const running = hasListenerEnded(address, timeoutMilliseconds);
		const check: SharedCheck = {running, next: undefined};
		this.checks.set(address, check);
		const hasEnded = await running;
		if (!check.next && this.checks.get(address) === check) {
			this.checks.delete(address);
		}

		return hasEnded;
	}
}
