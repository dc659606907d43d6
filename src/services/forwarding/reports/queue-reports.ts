import {type CustomerName, type ModelId} from '../../../contracts/ids.js';
import {
	fromLevelKey,
	levelCount,
	toLevelKey,
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
	/** True while this host shares or admits by the queue of the fleet. Otherwise it neither tells nor learns of any queue. */
	readonly isActive: () => boolean;
	/** What waits on this host. */
	readonly own: () => QueueReport;
};

/** Entries of waiting work in a report, those with the most work. Without the others a host admits more than can start, as with its own queue alone. */
const maximumEntries = 64;

/** Reports what waits for each model, by which all hosts see one queue. */
export class QueueReports extends ReportPart {
	constructor(private readonly options: QueueReportsOptions) {
		super();
	}

	requestFields(): ReportFields {
		const {queue, isActive, own} = this.options;
		if (!isActive()) {
			return {};
		}

		const report = own();
		queue.recordOwn(report);
		return {fleetQueue: toMessage(queue.reportUpstream(report), 0)};
	}

	handleRequest({host, fleetQueue}: ReportRequest): void {
		this.options.queue.applyReport(
			host,
			fleetQueue && this.options.isActive()
				? fromMessage(fleetQueue)
				: undefined,
		);
	}

	responseFields({host}: ReportRequest): ReportResponseFields {
		const {queue, isActive, own} = this.options;
		return isActive()
			? {
					fleetQueue: toMessage(
						queue.reportTo(host, own(), maximumEntries),
						Math.min(queue.ageMilliseconds, maximumAge),
					),
				}
			: {};
	}

	handleResponse(
		{fleetQueue}: ReportResponse,
		{ageMilliseconds}: ResponseSender,
	): void {
		if (fleetQueue && this.options.isActive()) {
			this.options.queue.applyUpstream(
				fromMessage(fleetQueue),
				ageMilliseconds + fleetQueue.ageMilliseconds,
			);
		}
	}

	reportLocally(): void {
		const {queue, isActive, own} = this.options;
		queue.becomeOwner();
		if (isActive()) {
			queue.recordOwn(own());
		}
	}
}

/** Largest age that the field holds. */
const maximumAge = 3_600_000;

type ModelFields = {
	readonly model: string;
	readonly dispatchedMilliseconds: number[];
	readonly waiting: Array<{
		level: number;
		customer: string;
		milliseconds: number;
	}>;
};

function toMessage(
	{waiting, dispatched, hosts}: QueueReport,
	ageMilliseconds: number,
): NonNullable<ReportFields['fleetQueue']> {
	const models = new Map<ModelId, ModelFields>();
	const fieldsOf = (model: ModelId) => {
		const fields = models.get(model) ?? {
			model,
			dispatchedMilliseconds: Array.from({length: levelCount}, () => 0),
			waiting: [],
		};
		models.set(model, fields);
		return fields;
	};

	for (const [key, milliseconds] of dispatched) {
		const [model, level] = fromLevelKey(key);
		fieldsOf(model).dispatchedMilliseconds[level] = milliseconds;
	}

	const named =
		waiting.length <= maximumEntries
			? waiting
			: [...waiting]
					.sort((left, right) => right.milliseconds - left.milliseconds)
					.slice(0, maximumEntries);
	for (const {model, level, caller, milliseconds} of named) {
		const customer = customerOf(caller) ?? '';
		fieldsOf(model).waiting.push({level, customer, milliseconds});
	}

	return {
		ageMilliseconds: Math.ceil(ageMilliseconds),
		models: [...models.values()],
		hosts,
	};
}

function fromMessage({models, hosts}: FleetQueueMessage): QueueReport {
	return {
		hosts,
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
			models.flatMap(({model, dispatchedMilliseconds}) =>
				dispatchedMilliseconds
					.slice(0, levelCount)
					.map(
						(milliseconds, level) =>
							[toLevelKey(model as ModelId, level), milliseconds] as const,
					),
			),
		),
	};
}
