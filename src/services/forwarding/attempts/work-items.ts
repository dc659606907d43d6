import {type OfferingName} from '../../../contracts/ids.js';
import {callerOf} from '../../../core/fairness/customer-callers.js';
import {type Urgency} from '../../../core/fairness/dispatch-queue.js';
import {type WorkItem} from '../../dispatch/dispatch-contracts.js';
import {type ForwardedRequest} from './forwarded-request.js';

/** Describes a request, or the rest of an interrupted stream, to the dispatcher. */
export function toWorkItem(
	request: ForwardedRequest,
	isContinuation: boolean,
): WorkItem {
	const {metadata, route} = request;
	return {
		request: request.key,
		caller: callerOf(request.options.customer),
		urgency: urgencyOf(route.priority),
		offering: route.name as string as OfferingName,
		...(metadata.model === undefined ? {} : {model: metadata.model}),
		...(metadata.adapter === undefined ? {} : {adapter: metadata.adapter}),
		...(request.softwareVersion === undefined
			? {}
			: {softwareVersion: request.softwareVersion}),
		promptCharacters: metadata.promptTokens,
		hintedTokens: metadata.expectedTokens,
		producedEvents: request.eventCount,
		maximumTokens: metadata.maximumTokens,
		prefixes: metadata.prefixKeys,
		remainingMilliseconds: request.remainingMilliseconds(),
		startObjectiveMilliseconds: request.startObjectiveMilliseconds(),
		startTimeoutMilliseconds: request.startTimeoutMilliseconds(),
		idempotent: request.isRepeatable,
		fingerprint: request.options.fingerprint,
		suspect: false,
		maximumExecutions: route.maximumExecutions - request.executions,
		isContinuation,
		avoidedTargets: request.brokenStreamTargets,
	};
}

/** Class of urgency of a priority. */
export function urgencyOf(priority: number): Urgency {
	return priority <= 0 ? 'urgent' : priority === 1 ? 'standard' : 'deferred';
}
