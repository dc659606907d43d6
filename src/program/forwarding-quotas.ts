import {QuotaExchange} from '../core/quotas/quota-exchange.js';
import {
	QuotaEnforcement,
	type QuotaEnforcementOptions,
} from '../services/forwarding/limits/quota-enforcement.js';
import {QuotaReportPart} from '../services/forwarding/reports/quota-report-part.js';
import {type RandomSource} from '../base/common/random-source.js';
import {type ForwardingSettings} from './forwarding-settings.js';

/** Collaborators of the quotas of a host. */
export type QuotaCollaborators = Omit<QuotaEnforcementOptions, 'exchange'> & {
	readonly random: RandomSource;
	readonly hostCount: () => number;
	readonly isOwner: () => boolean;
	/** Called when requests wait for word of the owner. */
	readonly onWordWanted: () => void;
};

/** The quotas of a host. */
export type HostQuotas = {
	readonly enforcement: QuotaEnforcement;
	readonly part: QuotaReportPart;
};

const defaultExcessShare = 0.1;
const defaultSlackUnits = 7500;

/** Creates what enforces quotas, or nothing if the settings name no window. */
export function createQuotas(
	{windowSeconds, excessShare, slackUnits}: ForwardingSettings['quotas'],
	collaborators: QuotaCollaborators,
): HostQuotas | undefined {
	if (!windowSeconds) {
		return undefined;
	}

	const {clock, random, hostCount, isOwner, onWordWanted} = collaborators;
	const exchange = new QuotaExchange({
		clock,
		random,
		tolerance: {
			windowSeconds,
			excessShare: excessShare ?? defaultExcessShare,
			slackUnits: slackUnits ?? defaultSlackUnits,
		},
		process: random.integer(2 ** 32),
		hostCount,
		isOwner,
		onWordWanted,
	});
	return {
		enforcement: new QuotaEnforcement({...collaborators, exchange}),
		part: new QuotaReportPart(exchange),
	};
}
