import {request, type Dispatcher} from 'undici';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {z} from 'zod';
import {type AdapterId, type ModelId} from '../contracts/ids.js';
import {type ListedTarget} from '../contracts/listed-target.js';
import {
	NoResponseError,
	TargetOrderPort,
	type OrderOutcome,
	type TargetOrder,
	type TargetOrderState,
} from '../contracts/target-orders.js';
import {
	residentModelsSchema,
	toIncarnation,
	toResidentModels,
} from './target-list-state.js';
import {headerNames, paths} from './wire.js';

const reportSchema = z.object({
	models: residentModelsSchema,
	busy: z.boolean(),
	seq: z.number(),
	born: z.number().optional(),
	coming: z.array(z.string()).default([]),
});

/** Workers answer orders within milliseconds; one without an answer in this time is given again, and the sequence number lets one of the two take effect. */
const answerMilliseconds = 250;

const outcomes: Readonly<Record<number, OrderOutcome>> = {
	200: 'already-done',
	202: 'accepted',
	400: 'invalid',
	409: 'conflict',
	412: 'superseded',
	421: 'not-this-target',
};

/** Gives orders to workers over their connections. */
export class PlatformOrderPort extends TargetOrderPort {
	/** The dispatcher shares the connections to a worker with the requests that it runs. */
	constructor(
		private readonly dispatcherFor: (
			target: ListedTarget,
		) => Dispatcher | undefined,
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
			const outcome = outcomes[status];
			return outcome === undefined
				? errAsync(
						new NoResponseError(
							`the target answered an order with status ${status}`,
						),
					)
				: okAsync(outcome);
		});
	}

	fetchState(
		target: ListedTarget,
	): ResultAsync<TargetOrderState, NoResponseError> {
		return this.call(target, 'GET', paths.report, undefined).andThen(
			({status, text}) => {
				const parsed =
					status === 200 ? reportSchema.safeParse(toJson(text)) : undefined;
				if (!parsed?.success) {
					return errAsync(
						new NoResponseError(
							`the target has no readable report, status ${status}`,
						),
					);
				}

				return okAsync({
					incarnation: toIncarnation(target.id, parsed.data.born),
					orderSequence: parsed.data.seq,
					models: toResidentModels(parsed.data.models),
					isBusy: parsed.data.busy,
					loadingAdapters: parsed.data.coming.flatMap((name) =>
						readLoadingAdapter(name),
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
		{readonly status: number; readonly text: string},
		NoResponseError
	> {
		const run = async () => {
			const dispatcher = this.dispatcherFor(target);
			const response = await request(`http://${target.address}${path}`, {
				...(dispatcher ? {dispatcher} : {}),
				method,
				headers: {
					[headerNames.expectInstance]: target.id,
					...(body === undefined ? {} : {'Content-Type': 'application/json'}),
				},
				body: body ?? null,
				signal: AbortSignal.timeout(answerMilliseconds),
			});
			return {
				status: response.statusCode,
				text: await response.body.text(),
			};
		};

		return ResultAsync.fromPromise(
			run(),
			(cause) =>
				new NoResponseError(
					`the target ${target.id} did not answer ${method} ${path}`,
					{cause},
				),
		);
	}
}

function toJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		// Text that is not JSON fails the schema.
		return undefined;
	}
}

/** Reads `MODEL/NAME@VERSION`. */
function readLoadingAdapter(
	name: string,
): Array<{readonly model: ModelId; readonly adapter: AdapterId}> {
	const match = /^([^/]+)\/([^@]+)/.exec(name);
	return match
		? [{model: match[1] as ModelId, adapter: match[2] as AdapterId}]
		: [];
}
