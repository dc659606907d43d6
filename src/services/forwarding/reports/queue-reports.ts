import {type CustomerName, type ModelId} from '../../../contracts/ids.js';
import {
	type FleetQueue,
	type QueueReport,
} from '../../../core/admission/fleet-queue.js';
import {callerOf, customerOf} from '../../../core/fairness/customer-callers.js';
import {
	type FleetQueue as FleetQueueMessage,
	type ReportRequest,
	type ReportResponse,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {
	ReportPart,
	type ReportFields,
	type ReportResponseFields,
	type ResponseSender,
} from './report-part.js';

/** Collaborators of the part. */
export type QueueReportsOptions = {
	readonly queue: FleetQueue;
	/** What waits on this host, undefined when it neither shares nor admits by the queue of the fleet. */
	readonly own: () => QueueReport | undefined;
};

/** Entries of waiting work in a report, those with the most work. Without the others a host admits more than can start, as with its own queue alone. */
const maximumEntries = 128;

/** Reports what waits for each model, by which all hosts see one queue. */
export class QueueReports extends ReportPart {
	constructor(private readonly options: QueueReportsOptions) {
		super();
	}

	requestFields(): ReportFields {
		const own = this.options.own();
		return own
			? {fleetQueue: toMessage(this.options.queue.reportUpstream(own), 0)}
			: {};
	}

	handleRequest({host, fleetQueue}: ReportRequest): void {
		this.options.queue.applyReport(host, fleetQueue && fromMessage(fleetQueue));
	}

	responseFields({host}: ReportRequest): ReportResponseFields {
		const {queue, own} = this.options;
		const report = own();
		return report
			? {
					fleetQueue: toMessage(
						queue.reportTo(host, report),
						Math.min(queue.ageMilliseconds, maximumAge),
					),
				}
			: {};
	}

	handleResponse(
		{fleetQueue}: ReportResponse,
		{ageMilliseconds}: ResponseSender,
	): void {
		if (fleetQueue) {
			this.options.queue.applyUpstream(
				fromMessage(fleetQueue),
				ageMilliseconds + fleetQueue.ageMilliseconds,
			);
		}
	}

	reportLocally(): void {
		this.options.queue.becomeOwner();
	}
}

/** Largest age that the field holds. */
const maximumAge = 3_600_000;

function toMessage(
	{waiting, dispatched}: QueueReport,
	ageMilliseconds: number,
): NonNullable<ReportFields['fleetQueue']> {
	const models = new Map(
		[...dispatched].map(([model, milliseconds]) => [
			model,
			{
				model: model as string,
				dispatchedMilliseconds: milliseconds,
				waiting: [] as Array<{
					level: number;
					customer: string;
					milliseconds: number;
				}>,
			},
		]),
	);
	const named =
		waiting.length <= maximumEntries
			? waiting
			: [...waiting]
					.sort((left, right) => right.milliseconds - left.milliseconds)
					.slice(0, maximumEntries);
	for (const {model, level, caller, milliseconds} of named) {
		const entry = models.get(model) ?? {
			model,
			dispatchedMilliseconds: 0,
			waiting: [],
		};
		entry.waiting.push({
			level,
			customer: customerOf(caller) ?? '',
			milliseconds,
		});
		models.set(model, entry);
	}

	return {
		ageMilliseconds: Math.ceil(ageMilliseconds),
		models: [...models.values()],
	};
}

function fromMessage({models}: FleetQueueMessage): QueueReport {
	return {
		waiting: models.flatMap(({model, waiting}) =>
			waiting.map(({level, customer, milliseconds}) => ({
				model: model as ModelId,
				level,
				caller: callerOf(
					customer === '' ? undefined : (customer as CustomerName),
				),
				milliseconds,
			})),
		),
		dispatched: new Map(
			models.map(({model, dispatchedMilliseconds}) => [
				model as ModelId,
				dispatchedMilliseconds,
			]),
		),
	};
}
