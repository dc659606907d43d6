import {Disposable} from '../../../base/common/disposable.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {TypedEvent} from '../../../base/common/typed-event.js';
import {
	type PermitBook,
	type PermitDemand,
} from '../../../core/limits/permit-book.js';
import {
	type PermitGrant,
	type PermitIssuer,
} from '../../../core/limits/permit-issuer.js';

/** Options of the permit client. */
export type PermitClientOptions = {
	readonly book: PermitBook;
	readonly metrics: MetricRegistry;
	/** Issues the permits of the group of this host, while it is the one that does. */
	readonly issuer: PermitIssuer;
	/** Share of the group of this host in the rate of a target, undefined while another host issues the permits. */
	readonly groupShare: () => number | undefined;
	/** Asks the host that issues the permits. Undefined when it did not respond. */
	readonly ask: (
		demands: readonly PermitDemand[],
	) => Promise<readonly PermitGrant[] | undefined>;
	/** Issues the permits of this host alone, while no other host issues any. */
	readonly fallbackIssuer: PermitIssuer;
	readonly hostCount: () => number;
};

/** Time in which the demands of several requests are combined. */
const combinationMilliseconds = 2;

/** Gets the permits that work of this host waits for. */
export class PermitClient extends Disposable {
	/** Permits were granted, so waiting work may be sent. */
	readonly granted = new TypedEvent<void>();
	private timer: NodeJS.Timeout | undefined;
	private isAsking = false;

	constructor(private readonly options: PermitClientOptions) {
		super();
		options.book.wanted.subscribe(() => {
			this.schedule();
		});
	}

	dispose(): void {
		clearTimeout(this.timer);
	}

	private schedule(): void {
		if (this.isAsking) {
			return;
		}

		this.timer ??= setTimeout(() => {
			this.timer = undefined;
			void this.acquire();
		}, combinationMilliseconds);
	}

	private async acquire(): Promise<void> {
		const {book, metrics} = this.options;
		const demands = book.pendingDemands();
		this.isAsking = true;
		const grants = await this.grantsFor(demands);
		this.isAsking = false;
		let hasPermits = false;
		for (const grant of grants) {
			hasPermits = book.applyGrant(grant) || hasPermits;
			metrics.count('daisylever_permits_total', {
				result: grant.count > 0 ? 'granted' : 'delayed',
			});
		}

		if (hasPermits) {
			this.granted.publish();
		}

		// Targets that were wanted during the call are not in it.
		if (book.pendingDemands().length > 0) {
			this.schedule();
		}
	}

	private async grantsFor(
		demands: readonly PermitDemand[],
	): Promise<readonly PermitGrant[]> {
		const {issuer, groupShare, ask, fallbackIssuer, hostCount} = this.options;
		const share = groupShare();
		if (share !== undefined) {
			fallbackIssuer.reset();
			return demands.map(({target, count}) =>
				issuer.issue(target, count, share),
			);
		}

		const grants = await ask(demands);
		if (grants) {
			// What accrues until the next outage was issued by the other host.
			fallbackIssuer.reset();
			return grants;
		}

		return demands.map(({target}) =>
			fallbackIssuer.issue(target, 1, 1 / Math.max(1, hostCount())),
		);
	}
}
