import {type LogEventDefinition} from '../../base/common/event-logger.js';

/** Events about placement, orders and target memory. Numbers 4000 to 4999. */
export const placementEvents = {
	planMade: {
		number: 4001,
		name: 'plan-made',
		level: 'info',
		description: 'The plan of a pool changed. Each change has its reason.',
	},
	planIgnored: {
		number: 4002,
		name: 'plan-ignored',
		level: 'warn',
		description:
			'The control stream did not accept a plan, because another host holds the plan lease or the log does not answer. The next pass starts over.',
	},
	artifactUnplaced: {
		number: 4003,
		name: 'artifact-unplaced',
		level: 'error',
		description:
			'No target has room for a model or adapter of the document. Add memory or reduce minimum replicas.',
	},
	orderAcknowledged: {
		number: 4010,
		name: 'order-acknowledged',
		level: 'info',
		description: 'A target took in an order.',
	},
	orderRefused: {
		number: 4011,
		name: 'order-refused',
		level: 'warn',
		description:
			'A target refused an order. It is given again after a delay if it is still needed.',
	},
	orderUnanswered: {
		number: 4012,
		name: 'order-unanswered',
		level: 'warn',
		description:
			'The response to an order was lost. Its memory stays charged until a fence, a report or a settlement closes it.',
	},
	intentIgnored: {
		number: 4013,
		name: 'intent-ignored',
		level: 'warn',
		description:
			'The control stream did not confirm the intent of an order, so the order was not sent.',
	},
	ordersSettled: {
		number: 4014,
		name: 'orders-settled',
		level: 'info',
		description: 'The outcome of recorded orders is known and recorded.',
	},
	targetFenced: {
		number: 4020,
		name: 'target-fenced',
		level: 'info',
		description:
			'A target acknowledged a fence. Its report is the basis of further orders.',
	},
	tokenRefused: {
		number: 4021,
		name: 'token-refused',
		level: 'warn',
		description:
			'A target has seen a newer fencing token. The owner claims the lease again if it still holds it.',
	},
	leaseReclaimed: {
		number: 4022,
		name: 'lease-reclaimed',
		level: 'info',
		description:
			'The owner claimed its lease again, so that a fence with the newer token frees charged memory.',
	},
	artifactMissing: {
		number: 4030,
		name: 'artifact-missing',
		level: 'warn',
		description:
			'A target lost a planned model or adapter, for example by a restart. It is loaded again.',
	},
	memoryExceeded: {
		number: 4031,
		name: 'memory-exceeded',
		level: 'error',
		description:
			'A target reports more bytes than its memory. Loads to it wait. Check the bytes of its models in the document.',
	},
	memoryReserved: {
		number: 4032,
		name: 'memory-reserved',
		level: 'warn',
		description:
			'A load waits for memory that is charged for an order of unknown outcome. Settle the order if it can no longer take effect.',
	},
} as const satisfies Record<string, LogEventDefinition>;
