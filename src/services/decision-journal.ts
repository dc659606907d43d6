import {type Clock} from '../base/common/clock.js';

/** Kinds of decisions that operators can ask about. */
export type DecisionKind =
	| 'takeover'
	| 'move'
	| 'refusal'
	| 'quarantine'
	| 'routing'
	| 'retry'
	| 'order';

/** What a decision was about. */
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
	/** Why, in words for an operator. */
	readonly reason: string;
	readonly subjects: DecisionSubjects;
	/** Figures behind the decision, such as the score of each candidate. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** A decision in the journal. */
export type JournalEntry = Decision & {
	readonly sequence: number;
	readonly time: number;
	readonly host: string;
};

/** Selects entries. All given subjects must be equal. */
export type DecisionQuery = {
	readonly kinds?: readonly DecisionKind[];
	readonly subjects?: DecisionSubjects;
	readonly limit?: number;
};

/** Options of a journal. */
export type DecisionJournalOptions = {
	readonly clock: Clock;
	readonly host: string;
	/** Decisions about single requests. */
	readonly maximumRequestEntries?: number;
	/** All other decisions, which are rare and worth a longer memory. */
	readonly maximumOtherEntries?: number;
};

/** A list of bounded length that drops its oldest entries. */
class EntryRing {
	private readonly entries: JournalEntry[] = [];
	private oldest = 0;

	constructor(private readonly capacity: number) {}

	push(entry: JournalEntry): void {
		if (this.entries.length < this.capacity) {
			this.entries.push(entry);
			return;
		}

		this.entries[this.oldest] = entry;
		this.oldest = (this.oldest + 1) % this.capacity;
	}

	/** The newest first. */
	*newestFirst(): Generator<JournalEntry> {
		const {length} = this.entries;
		for (let step = 1; step <= length; step++) {
			yield this.entries[(this.oldest + length - step) % length]!;
		}
	}
}

/** Keeps the newest decisions of this host in memory. Requests have their own bound, so that they do not displace the rest. */
export class DecisionJournal {
	private readonly requests: EntryRing;
	private readonly others: EntryRing;
	private sequence = 0;

	constructor(private readonly options: DecisionJournalOptions) {
		this.requests = new EntryRing(options.maximumRequestEntries ?? 20_000);
		this.others = new EntryRing(options.maximumOtherEntries ?? 5000);
	}

	/** Adds a decision. */
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

	/** Returns matching decisions, the newest first. */
	query(query: DecisionQuery): readonly JournalEntry[] {
		const limit = query.limit ?? 100;
		const wanted = Object.entries(query.subjects ?? {}).filter(
			([, value]) => value !== undefined,
		);
		const matches = (entry: JournalEntry): boolean =>
			(query.kinds === undefined || query.kinds.includes(entry.kind)) &&
			wanted.every(
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
