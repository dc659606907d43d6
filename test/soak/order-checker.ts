import {type ReceivedOrder} from './soak-messages.js';

type LastOrder = ReceivedOrder & {readonly at: number};

/** Shortest time between the orders of two lease holders to one worker. */
const handoverMilliseconds = 3000;

/** Checks the orders that one worker process receives: fencing tokens never fall, no two holders share one, and holders do not take turns quickly. */
export class OrderChecker {
	private highest: LastOrder | undefined;
	private last: LastOrder | undefined;
	private readonly holders = new Map<number, string>();

	constructor(
		private readonly onViolation: (check: string, detail: string) => void,
	) {}

	/** Records an order. Orders of a holder that was paused shortly before are excused from the checks of order. */
	record(order: ReceivedOrder, at: number, isExcused: boolean): void {
		const holder = this.holders.get(order.fence);
		if (holder !== undefined && holder !== order.holder) {
			this.onViolation(
				'two holders with one token',
				`token ${order.fence} of ${holder} and ${order.holder}`,
			);
		}

		this.holders.set(order.fence, order.holder);
		if (isExcused) {
			return;
		}

		const {highest, last} = this;
		if (highest && order.fence < highest.fence) {
			this.onViolation(
				'token went back',
				`${describe(order)} after ${describe(highest)}`,
			);
		}

		if (
			last &&
			last.holder !== order.holder &&
			at - last.at < handoverMilliseconds
		) {
			this.onViolation(
				'holders take turns',
				`${describe(order)} ${Math.round(at - last.at)} ms after ${describe(last)}`,
			);
		}

		this.last = {...order, at};
		if (!highest || order.fence > highest.fence) {
			this.highest = this.last;
		}
	}
}

function describe({holder, fence, text}: ReceivedOrder): string {
	return `${holder}#${fence} ${text}`;
}
