import {type Clock} from '../../base/common/clock.js';

/** The host to which the next report goes. */
export type ReportDestination = {
	readonly address: string;
	readonly isRelay: boolean;
};

/** Collaborators of the route. */
export type ReportRouteOptions = {
	readonly clock: Clock;
};

/** Time for which a relay that did not respond is not used again. Longer than the owner needs to notice that the relay is gone. */
const relayBanMilliseconds = 3000;

/** Decides whether a host reports to the owner or to the relay that the owner assigned. Falls back to the owner when the relay does not serve. */
export class ReportRoute {
	private relayAddress = '';
	private failedAddress = '';
	private failedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: ReportRouteOptions) {}

	/** Address of the relay in use, empty while the host reports to the owner. */
	get relay(): string {
		return this.relayAddress;
	}

	/** Address of the relay that failed lately, empty if there is none. */
	get failedRelay(): string {
		return this.options.clock.monotonic() - this.failedAt < relayBanMilliseconds
			? this.failedAddress
			: '';
	}

	/** Returns the destination of the next report, undefined if there is none. */
	destination(ownerAddress: string | undefined): ReportDestination | undefined {
		if (this.relayAddress !== '') {
			return {address: this.relayAddress, isRelay: true};
		}

		return ownerAddress === undefined
			? undefined
			: {address: ownerAddress, isRelay: false};
	}

	/** Applies the assignment in a response of the owner. */
	applyAssignment(relayAddress: string): void {
		if (relayAddress !== this.failedRelay || relayAddress === '') {
			this.relayAddress = relayAddress;
		}
	}

	/** Records that a destination did not respond or does not serve this host. */
	recordFailure({address, isRelay}: ReportDestination): void {
		if (!isRelay) {
			return;
		}

		this.failedAddress = address;
		this.failedAt = this.options.clock.monotonic();
		// A concurrent report may already have moved to another relay.
		if (this.relayAddress === address) {
			this.relayAddress = '';
		}
	}

	/** Returns to the owner, for a host that became the owner itself. */
	reset(): void {
		this.relayAddress = '';
	}
}
