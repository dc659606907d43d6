import {type Clock} from '../base/common/clock.js';

/** Kinds of decisions that operators can query. */
export type DecisionKind =
	| 'takeover'
	| 'move'
	| 'refusal'
	| 'quarantine'
	| 'routing'
	| 'retry'
	| 'order';

/** Names and ids of the objects that a decision concerns. */
export type DecisionSubjects = {
	readonly request?: string;
	readonly caller?: string;
	readonly offering?: string;
	readonly pool?: string;
	readonly target?: string;
	readonly artifact?: string;
	readonly lease?: string;
	readonly fingerprint?: string;
};

/** A decision and its reason. */
export type Decision = {
	readonly kind: DecisionKind;
	/** Reason in words for an operator. */
	readonly reason: string;
	readonly subjects: DecisionSubjects;
	/** Data behind the decision, such as the score of each candidate. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** A decision in the journal. */
export type JournalEntry = Decision & {
	/** Position in the journal of the host, counted from zero. */
	readonly sequence: number;
	/** Wall-clock time in milliseconds. */
	readonly time: number;
	/** Host that made or applied the decision. */
	readonly host: string;
};

/** Selects journal entries. An entry must have one of the kinds and equal all given subjects. */
export type DecisionQuery = {
	readonly kinds?: readonly DecisionKind[];
	readonly subjects?: DecisionSubjects;
	/** Maximum number of entries. Default: 100. */
	readonly limit?: number;
};

/** Options of a decision journal. */
export type DecisionJournalOptions = {
	readonly clock: Clock;
	readonly host: string;
	/** Maximum number of retained decisions about single requests. Default: 20,000. */
	readonly maximumRequestEntries?: number;
	/** Maximum number of all other retained decisions, which are rare and retained longer. Default: 5000. */
	readonly maximumOtherEntries?: number;
};

/** Ring buffer that overwrites its oldest entries. */
class EntryRingBuffer {
	private readonly entries: JournalEntry[] = [];
	private oldestIndex = 0;

	constructor(private readonly capacity: number) {}

	push(entry: JournalEntry): void {
		if (this.entries.length < this.capacity) {
			this.entries.push(entry);
			return;
		}

		this.entries[this.oldestIndex] = entry;
		this.oldestIndex = (this.oldestIndex + 1) % this.capacity;
	}

	/** Iterates over the entries, newest first. */
	*newestFirst(): Generator<JournalEntry> {
		const {length} = this.entries;
		for (let step = 1; step <= length; step++) {
			yield this.entries[(this.oldestIndex + length - step) % length]!;
		}
	}
}

/** In-memory journal of the latest decisions on this host. Decisions about requests have their own limit, so that they do not evict others. */
export class DecisionJournal {
	private readonly requests: EntryRingBuffer;
	private readonly others: EntryRingBuffer;
	private sequence = 0;

	constructor(private readonly options: DecisionJournalOptions) {
		this.requests = new EntryRingBuffer(
			options.maximumRequestEntries ?? 20_000,
		);
		this.others = new EntryRingBuffer(options.maximumOtherEntries ?? 5000);
	}

	/** Adds a decision to the journal. */
	record(decision: Decision): void {
		const entry = {
			...decision,
			sequence: this.sequence++,
			time: this.options.clock.wall(),
			host: this.options.host,
		};
		const ring =
			decision.subjects.request === undefined ? this.others : this.requests;
		ring.push(entry);
	}

	/** Returns matching decisions, newest first. */
	query(query: DecisionQuery): readonly JournalEntry[] {
		const limit = query.limit ?? 100;
		const requiredSubjects = Object.entries(query.subjects ?? {}).filter(
			([, value]) => value !== undefined,
		);
		const matches = (entry: JournalEntry): boolean =>
			(query.kinds === undefined || query.kinds.includes(entry.kind)) &&
			requiredSubjects.every(
				([name, value]) =>
					entry.subjects[name as keyof DecisionSubjects] === value,
			);
		const found: JournalEntry[] = [];
		for (const ring of [this.requests, this.others]) {
			let count = 0;
			for (const entry of ring.newestFirst()) {
				if (count >= limit) {
					break;
				}

				if (matches(entry)) {
					found.push(entry);
					count++;
				}
			}
		}

		return found
			.sort((left, right) => right.sequence - left.sequence)
			.slice(0, limit);
	}
}
