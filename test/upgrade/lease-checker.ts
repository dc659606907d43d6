import {parseOwnerRecord} from '../../src/contracts/owner-record.js';

type LeaseRecord = NonNullable<ReturnType<typeof parseOwnerRecord>>;

/** Interval at which a holder renews the lease. A holder whose record is younger has not been lost. */
const renewalMilliseconds = 800;

/** Checks the records of the owner lease in the order in which the store takes them. */
export class LeaseChecker {
	private last: {readonly record: LeaseRecord; readonly at: number} | undefined;

	constructor(
		private readonly onViolation: (check: string, detail: string) => void,
	) {}

	/** Checks a record that the store took at a time in milliseconds. */
	record(body: Buffer, at: number): void {
		const record = parseOwnerRecord(body);
		if (!record) {
			this.onViolation('unreadable lease record', body.toString('utf8'));
			return;
		}

		const {last} = this;
		this.last = {record, at};
		if (!last || last.record.kind === 'released') {
			if (record.kind !== 'claimed') {
				this.onViolation('lease without a claim', describe(record));
			}

			return;
		}

		if (record.incarnation === last.record.incarnation) {
			return;
		}

		if (record.kind !== 'claimed') {
			this.onViolation(
				'lease renewed or released by another host',
				`${describe(record)} after ${describe(last.record)}`,
			);
		} else if (at - last.at < renewalMilliseconds) {
			this.onViolation(
				'lease claimed from a holder that renews',
				`${describe(record)} ${Math.round(at - last.at)} ms after ${describe(last.record)}`,
			);
		}
	}
}

function describe({kind, host, incarnation}: LeaseRecord): string {
	return `${kind} by ${host}/${incarnation}`;
}
