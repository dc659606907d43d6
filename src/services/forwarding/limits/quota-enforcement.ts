import {type Clock} from '../../../base/common/clock.js';
import {type EventLogger} from '../../../base/common/event-logger.js';
import {type MetricRegistry} from '../../../base/common/metric-registry.js';
import {forwardingEvents} from '../../../contracts/events/forwarding-events.js';
import {type ForwardingDocument} from '../../../contracts/forwarding-document.js';
import {type CustomerName} from '../../../contracts/ids.js';
import {LogLimiter} from '../../../core/limits/log-limiter.js';
import {QuotaCharge} from '../../../core/quotas/quota-charge.js';
import {type QuotaDecision} from '../../../core/quotas/quota-account.js';
import {
	type QuotaExchange,
	type QuotaPreview,
} from '../../../core/quotas/quota-exchange.js';
import {requestUnits} from '../../../core/quotas/quota-policy.js';
import {type ForwardedRequest} from '../attempts/forwarded-request.js';

/** Collaborators of the enforcement. */
export type QuotaEnforcementOptions = {
	readonly exchange: QuotaExchange;
	readonly clock: Clock;
	readonly events: EventLogger;
	readonly metrics: MetricRegistry;
};

type Refusal = Extract<QuotaDecision, {kind: 'refused'}>;

/** Interval at which waiting requests are looked at again. */
const waitIntervalMilliseconds = 15;
/** One line for each customer in this time. */
const logLimits = {intervalMilliseconds: 10_000, maximumLines: 32};

/** Admits the requests of callers within the quotas of their customers, or refuses them as not run. */
export class QuotaEnforcement {
	private timer: NodeJS.Timeout | undefined;
	private readonly log: LogLimiter;

	constructor(private readonly options: QuotaEnforcementOptions) {
		this.log = new LogLimiter({clock: options.clock, ...logLimits});
	}

	/** Applies the quotas of a new version. A document without customers comes from a host of an older build and leaves them out. */
	applyDocument({customers}: ForwardingDocument): void {
		if (customers) {
			this.options.exchange.applyCustomers(customers);
		}
	}

	/** Calls back once the request is within the quota of its customer, at once or after a short wait. Otherwise refuses the request. */
	admit(request: ForwardedRequest, onAdmitted: () => void): void {
		const {customer} = request.options;
		const account =
			customer === undefined
				? undefined
				: this.options.exchange.account(customer);
		if (!account) {
			onAdmitted();
			return;
		}

		const units = requestUnits(account.currentQuota, request.metadata);
		account.request(units, (decision) => {
			if (decision.kind === 'refused') {
				this.refuse(request, customer!, units, decision);
				return;
			}

			const charge = new QuotaCharge(account, units);
			if (request.isFinished) {
				charge.release();
				return;
			}

			request.quotaCharge = charge;
			onAdmitted();
		});
		if (account.hasWaiting) {
			this.decideWaiting();
		}
	}

	/** What limits a customer now, undefined if it has no quota. Changes nothing. */
	preview(customer: CustomerName): QuotaPreview | undefined {
		return this.options.exchange.preview(customer);
	}

	/** Updates the metrics of the customers with a quota. */
	updateMetrics(): void {
		const {exchange, metrics} = this.options;
		for (const {customer, account, usePerSecond} of exchange.states()) {
			const labels = {customer};
			const {mode, usedShare, admittedShare} = account.state;
			metrics.gauge('daisylever_quota_admitted_share', admittedShare, labels);
			metrics.gauge(
				'daisylever_quota_without_word',
				mode === 'part' ? 1 : 0,
				labels,
			);
			metrics.gauge(
				'daisylever_quota_units_per_second',
				account.currentQuota.perSecond,
				labels,
			);
			metrics.gauge('daisylever_quota_host_demand', account.demand, labels);
			metrics.gauge('daisylever_quota_used_share', usedShare, labels);
			if (usePerSecond !== undefined) {
				metrics.gauge('daisylever_quota_fleet_use', usePerSecond, labels);
			}
		}
	}

	dispose(): void {
		clearTimeout(this.timer);
	}

	private decideWaiting(): void {
		if (this.options.exchange.update()) {
			this.timer ??= setTimeout(() => {
				this.timer = undefined;
				this.decideWaiting();
			}, waitIntervalMilliseconds);
		}
	}

	private refuse(
		request: ForwardedRequest,
		customer: CustomerName,
		units: number,
		{mode, retryMilliseconds, ...outlook}: Refusal,
	): void {
		if (request.isFinished) {
			return;
		}

		const reason = mode === 'part' ? 'quota-without-word' : 'quota';
		this.options.metrics.count('daisylever_quota_refusals_total', {
			customer,
			reason,
		});
		const omittedLines = this.log.admit(`${customer} ${reason}`);
		if (omittedLines !== undefined) {
			this.options.events.record(forwardingEvents.quotaExceeded, {
				request: request.metadata.id,
				customer,
				reason,
				units,
				usedShare: Number(outlook.usedShare.toFixed(3)),
				admittedShare: Number(outlook.admittedShare.toFixed(3)),
				ageMilliseconds: Number.isFinite(outlook.ageMilliseconds)
					? Math.round(outlook.ageMilliseconds)
					: undefined,
				retryMilliseconds: Math.round(retryMilliseconds),
				documentVersion: request.options.documentVersion,
				omittedLines,
			});
		}

		request.refuseForQuota(
			mode === 'part'
				? 'the customer exceeds the part of its quota that this host has without word of the owner'
				: 'the customer exceeds its quota',
			Math.ceil(retryMilliseconds),
		);
	}
}
