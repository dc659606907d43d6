import {type ResultAsync} from 'neverthrow';
import {type ListedTarget} from '../../../contracts/listed-target.js';
import {
	TargetOrderPort,
	type NoResponseError,
	type OrderOutcome,
	type TargetOrder,
	type TargetOrderState,
} from '../../../contracts/target-orders.js';
import {type PermitIssuer} from '../../../core/limits/permit-issuer.js';

/** Counts the calls of the owner among the requests that a target with a named rate gets. They wait for no permit. */
export class ChargedOrderPort extends TargetOrderPort {
	constructor(
		private readonly port: TargetOrderPort,
		private readonly permits: PermitIssuer,
	) {
		super();
	}

	sendOrder(
		target: ListedTarget,
		order: TargetOrder,
	): ResultAsync<OrderOutcome, NoResponseError> {
		this.permits.charge(target.id);
		return this.port.sendOrder(target, order);
	}

	fetchState(
		target: ListedTarget,
	): ResultAsync<TargetOrderState, NoResponseError> {
		this.permits.charge(target.id);
		return this.port.fetchState(target);
	}
}
