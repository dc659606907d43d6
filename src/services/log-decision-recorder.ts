import {type Disposable} from '../base/common/disposable.js';
import {
	controlRecordSchema,
	type ControlRecord,
} from '../contracts/control-record.js';
import {type DecisionJournal} from './decision-journal.js';
import {type AppliedRecord, type LogFollower} from './log-follower.js';

/** Adds the decisions in accepted control records to the journal, so that every host can explain them. */
export class LogDecisionRecorder implements Disposable {
	private readonly subscription: Disposable;

	constructor(
		follower: LogFollower,
		private readonly journal: DecisionJournal,
	) {
		this.subscription = follower.recordApplied.subscribe((applied) => {
			this.handleApplied(applied);
		});
	}

	dispose(): void {
		void this.subscription.dispose();
	}

	private handleApplied({record, outcome}: AppliedRecord): void {
		const parsed = controlRecordSchema.safeParse(record.body);
		if (outcome.accepted && parsed.success) {
			this.recordDecisions(parsed.data);
		}
	}

	private recordDecisions(record: ControlRecord): void {
		switch (record.kind) {
			case 'lease-claimed': {
				this.journal.record({
					kind: 'takeover',
					reason: record.reason,
					subjects: {lease: record.lease},
					details: {holder: record.holder, incarnation: record.incarnation},
				});
				break;
			}

			case 'plan-made': {
				for (const change of record.changes) {
					this.journal.record({
						kind: 'move',
						reason: change.reason,
						subjects: {
							pool: record.pool,
							target: change.target,
							artifact: change.artifact,
						},
						details: {action: change.desired ? 'load' : 'unload'},
					});
				}

				break;
			}

			case 'target-died': {
				for (const fingerprint of record.fingerprints) {
					this.journal.record({
						kind: 'quarantine',
						reason: 'The request was in flight when the target process ended.',
						subjects: {target: record.target, fingerprint},
						details: {seenBy: record.host},
					});
				}

				break;
			}

			case 'orders-settled': {
				for (const {orderId, outcome} of record.orders) {
					this.journal.record({
						kind: 'order',
						reason: `The order was settled as ${outcome} by ${record.by}.`,
						subjects: {},
						details: {order: orderId},
					});
				}

				break;
			}

			// These records contain no decision that operators query.
			case 'document-submitted':
			case 'host-started':
			case 'host-stopped':
			case 'lease-released':
			case 'leases-renewed':
			case 'orders-intended': {
				break;
			}
		}
	}
}
