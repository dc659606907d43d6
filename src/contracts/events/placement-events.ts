import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Log events about placement, orders and target memory. Numbers 4000 to 4999. */
export const placementEvents = {
	planMade: {
		number: 4001,
		name: 'plan-made',
		level: 'info',
		description:
			'The placement plan of a pool changed. Each change has its reason.',
	},
	planIgnored: {
		number: 4002,
		name: 'plan-ignored',
		level: 'warn',
		description:
			'A plan was not accepted, because another host holds the plan lease or the log service does not respond. The next planning pass starts over.',
	},
	artifactUnplaced: {
		number: 4003,
		name: 'artifact-unplaced',
		level: 'error',
		description:
			'No target has enough memory for a model or adapter of the document. Add targets or memory, or reduce minimumReplicas.',
	},
	orderAcknowledged: {
		number: 4010,
		name: 'order-acknowledged',
		level: 'info',
		description: 'A target acknowledged an order.',
	},
	orderRefused: {
		number: 4011,
		name: 'order-refused',
		level: 'warn',
		description:
			'A target refused an order. The order is sent again after a delay if it is still needed.',
	},
	orderUnanswered: {
		number: 4012,
		name: 'order-unanswered',
		level: 'warn',
		description:
			'A target did not acknowledge an order. The memory of the order stays reserved until a fence, a report or a settlement closes it.',
	},
	intentIgnored: {
		number: 4013,
		name: 'intent-ignored',
		level: 'warn',
		description:
			'The log service did not confirm the record that must precede an order, so the order was not sent.',
	},
	intentsSettled: {
		number: 4014,
		name: 'intents-settled',
		level: 'info',
		description:
			'The outcome of recorded orders became known and was recorded.',
	},
	targetFenced: {
		number: 4020,
		name: 'target-fenced',
		level: 'info',
		description:
			'A target acknowledged a fence, which invalidates orders with older tokens. Its report is the basis of further orders.',
	},
	tokenRefused: {
		number: 4021,
		name: 'token-refused',
		level: 'warn',
		description:
			'A target refused an order because it has seen a newer fencing token. The host claims the lease again if it still holds it.',
	},
	leaseReclaimed: {
		number: 4022,
		name: 'lease-reclaimed',
		level: 'info',
		description:
			'The host claimed its own lease again, so that a fence with the newer token frees the memory reserved for unacknowledged orders.',
	},
	artifactMissing: {
		number: 4030,
		name: 'artifact-missing',
		level: 'warn',
		description:
			'A planned model or adapter is no longer resident on its target, for example after a restart. It is loaded again.',
	},
	memoryExceeded: {
		number: 4031,
		name: 'memory-exceeded',
		level: 'error',
		description:
			'A target reports models and adapters that take more memory than it has. Loads to it wait. Check the bytes of its models in the document.',
	},
	memoryReserved: {
		number: 4032,
		name: 'memory-reserved',
		level: 'warn',
		description:
			'A load waits for memory that is reserved for an order with unknown outcome. Settle the order if it can no longer take effect.',
	},
} as const satisfies Record<string, LogEventDefinition>;
