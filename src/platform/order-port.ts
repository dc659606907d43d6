import {request, type Dispatcher} from 'undici';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {readBody} from '../base/node/read-body.js';
import {type SeparateConnections} from '../base/node/separate-connections.js';
import {decodeJson} from '../contracts/bounded-json.js';
import {
	maximumTargetCount,
	toIncarnation,
} from '../contracts/entry-revision.js';
import {type AdapterId, type ModelId} from '../contracts/ids.js';
import {type ListedTarget} from '../contracts/listed-target.js';
import {
	NoResponseError,
	TargetOrderPort,
	type OrderAnswer,
	type OrderOutcome,
	type TargetOrder,
	type TargetOrderState,
} from '../contracts/target-orders.js';
import {decodeAvailability} from './request-codec.js';
import {residentModelsSchema, toResidentModels} from './target-list-state.js';
import {headerNames, paths} from './wire.js';

const reportSchema = z.object({
	models: residentModelsSchema,
	busy: z.boolean(),
	seq: z.number().int().nonnegative().max(maximumTargetCount),
	born: z.number().optional(),
	coming: z.array(z.string()).default([]),
});

/** Size of a report. */
const maximumReportBytes = 262_144;
/** Workers respond to orders within milliseconds. An order without a response in this time is sent again; its sequence number ensures that only one of the two takes effect. */
const responseTimeoutMilliseconds = 250;

/** Outcomes of an order by the status of its response. */
const outcomesByStatus: Readonly<Record<number, OrderOutcome>> = {
	200: 'already-done',
	202: 'accepted',
	400: 'invalid',
	409: 'conflict',
	412: 'superseded',
	421: 'not-this-target',
};

/** Sends orders to workers and fetches their reports over HTTP. */
export class PlatformOrderPort extends TargetOrderPort {
	/** Without connections to a target, the default dispatcher is used. */
	constructor(
		private readonly connectionsTo: (
			target: ListedTarget,
		) => SeparateConnections | undefined,
		private readonly onAnswer: (answer: OrderAnswer) => void = () => undefined,
	) {
		super();
	}

	sendOrder(
		target: ListedTarget,
		order: TargetOrder,
	): ResultAsync<OrderOutcome, NoResponseError> {
		const body = JSON.stringify({
			opcode: order.action,
			model: order.model,
			...(order.adapter === undefined ? {} : {adapter: order.adapter}),
			expected: order.expectedSequence,
			holder: order.holder,
			fence: order.token,
		});
		return this.call(target, 'POST', paths.order, body).andThen(({status}) => {
			const outcome = outcomesByStatus[status];
			return outcome === undefined
				? errAsync(
						new NoResponseError(
							`the target ${target.id} responded to an order with the unexpected status ${status}`,
						),
					)
				: okAsync(outcome);
		});
	}

	fetchState(
		target: ListedTarget,
	): ResultAsync<TargetOrderState, NoResponseError> {
		return this.call(target, 'GET', paths.report, undefined).andThen(
			({status, body}) => {
				const report = decodeJson(body, reportSchema, maximumReportBytes);
				if (status !== 200 || report.isErr()) {
					return errAsync(
						new NoResponseError(
							`the target ${target.id} returned no valid report; its response has status ${status}`,
						),
					);
				}

				return okAsync({
					incarnation: toIncarnation(target.id, report.value.born),
					orderSequence: report.value.seq,
					models: toResidentModels(report.value.models),
					isBusy: report.value.busy,
					loadingAdapters: report.value.coming.flatMap((name) =>
						parseLoadingAdapter(name),
					),
				});
			},
		);
	}

	private call(
		target: ListedTarget,
		method: 'GET' | 'POST',
		path: string,
		body: string | undefined,
	): ResultAsync<
		{readonly status: number; readonly body: Buffer},
		NoResponseError
	> {
		const send = async (dispatcher: Dispatcher | undefined) => {
			const response = await request(`http://${target.address}${path}`, {
				...(dispatcher ? {dispatcher} : {}),
				method,
				headers: {
					[headerNames.expectInstance]: target.id,
					...(body === undefined ? {} : {'Content-Type': 'application/json'}),
				},
				body: body ?? null,
				signal: AbortSignal.timeout(responseTimeoutMilliseconds),
			});
			this.onAnswer({
				target,
				...decodeAvailability(response.statusCode, response.headers),
			});
			return {
				status: response.statusCode,
				body: await readBody(response.body, maximumReportBytes),
			};
		};

		const connections = this.connectionsTo(target);
		return ResultAsync.fromPromise(
			connections && method === 'POST'
				? connections.withOwnConnection(send)
				: send(connections?.reportDispatcher),
			(cause) =>
				new NoResponseError(
					`the target ${target.id} did not respond to ${method} ${path}`,
					{cause},
				),
		);
	}
}

/** Parses `MODEL/ADAPTER@VERSION`. Returns an empty list for a name of another form. */
function parseLoadingAdapter(
	name: string,
): Array<{readonly model: ModelId; readonly adapter: AdapterId}> {
	const match = /^([^/]+)\/([^@]+)/.exec(name);
	return match
		? [{model: match[1] as ModelId, adapter: match[2] as AdapterId}]
		: [];
}
