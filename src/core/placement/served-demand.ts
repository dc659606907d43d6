import {type AdapterId, type ModelId} from '../../contracts/ids.js';
import {formatTable} from '../burn/text-table.js';
import {adapterKey} from './adapter-slot-policy.js';

/** A model request as the log of a forwarding host records it. */
export type LoggedModelRequest = {
	/** Wall-clock time in milliseconds at which the response ended. */
	readonly time: number;
	/** Duration of the response. */
	readonly milliseconds: number;
	/** `complete`, `caller left`, `status NNN` or a text that describes a failure. */
	readonly outcome: string;
	readonly model: ModelId;
	readonly adapter?: AdapterId | undefined;
	/** What no target offered when the request was refused. */
	readonly missing?: string | undefined;
};

/** How often a model or adapter was requested and served. */
export type ServedArtifact = {
	/** Model id, or model and adapter id separated by a slash. */
	readonly name: string;
	readonly requests: number;
	readonly served: number;
	/** Unserved requests that were refused while no target offered their model or adapter. */
	readonly refusedAsMissing: number;
	/** Time from the first request to the last one. */
	readonly spanMilliseconds: number;
	/** Longest time from a request to the next served one, or to the last request. */
	readonly longestWaitMilliseconds: number;
};

/** Counts requests and answers by model and by adapter over the logs of all hosts. */
export class ServedDemandCounter {
	private readonly requests = new Map<string, LoggedModelRequest[]>();

	/** Counts a request. Requests may be added in any order. */
	add(request: LoggedModelRequest): void {
		const {model, adapter} = request;
		this.addTo(model, request);
		if (adapter !== undefined) {
			this.addTo(adapterKey({model, adapter}), request);
		}
	}

	/** Returns the models and adapters with at least so many requests over at least this time, the smallest share of served requests first. */
	report(
		minimumRequests: number,
		minimumSpanMilliseconds: number,
	): ServedArtifact[] {
		return [...this.requests]
			.map(([name, requests]) => summarize(name, requests))
			.filter(
				({requests, spanMilliseconds}) =>
					requests >= minimumRequests &&
					spanMilliseconds >= minimumSpanMilliseconds,
			)
			.sort(
				(left, right) =>
					left.served / left.requests - right.served / right.requests ||
					right.requests - left.requests,
			);
	}

	private addTo(name: string, request: LoggedModelRequest): void {
		const requests = this.requests.get(name) ?? [];
		requests.push(request);
		this.requests.set(name, requests);
	}
}

function summarize(
	name: string,
	requests: readonly LoggedModelRequest[],
): ServedArtifact {
	const ordered = [...requests].sort(
		(left, right) => arrivalOf(left) - arrivalOf(right),
	);
	let served = 0;
	let refusedAsMissing = 0;
	let longestWaitMilliseconds = 0;
	let waitingSince: number | undefined;
	for (const request of ordered) {
		const arrival = arrivalOf(request);
		waitingSince ??= arrival;
		longestWaitMilliseconds = Math.max(
			longestWaitMilliseconds,
			arrival - waitingSince,
		);
		if (request.outcome === 'complete') {
			served++;
			waitingSince = undefined;
		} else {
			refusedAsMissing += request.missing === undefined ? 0 : 1;
		}
	}

	return {
		name,
		requests: ordered.length,
		served,
		refusedAsMissing,
		spanMilliseconds: arrivalOf(ordered.at(-1)!) - arrivalOf(ordered[0]!),
		longestWaitMilliseconds,
	};
}

function arrivalOf({time, milliseconds}: LoggedModelRequest): number {
	return time - milliseconds;
}

/** Formats the report as a text table, with the number of models and adapters that were never served before it. */
export function formatServedDemand(report: readonly ServedArtifact[]): string {
	const neverServed = report.filter(({served}) => served === 0).length;
	return `${neverServed} of ${report.length} models and adapters were never served\n\n${formatTable(
		[
			[
				'name',
				'requests',
				'served',
				'refused as missing',
				'asked for, s',
				'longest wait, s',
			],
			...report.map((each) => [
				each.name,
				String(each.requests),
				String(each.served),
				String(each.refusedAsMissing),
				(each.spanMilliseconds / 1000).toFixed(1),
				(each.longestWaitMilliseconds / 1000).toFixed(1),
			]),
		],
	)}`;
}
