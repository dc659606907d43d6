import {type TryResult} from './request-ledger.js';
import {type HostLife} from './soak-fleet.js';
import {type SoakRecord} from './soak-record.js';

/** A line of a host's log, as far as the account reads it. */
type LogLine = {
	readonly message?: string;
	readonly fields?: {
		readonly request?: string;
		readonly outcome?: string;
		readonly wholeResponses?: number;
	};
};

/** Outcomes of requests whose answers the host does not count as whole. */
const unfinishedOutcome = /^(broken|caller left)/;

/** Compares the answers that each process of a host counts as whole with what their callers read. */
export class AnswerAccount {
	private readonly tries = new Map<HostLife, TryResult[]>();

	constructor(private readonly record: SoakRecord) {}

	/** Records what a caller got from a process. */
	recordTry(life: HostLife, result: TryResult): void {
		const known = this.tries.get(life) ?? [];
		known.push(result);
		this.tries.set(life, known);
	}

	/** Reports the answers that a process counts as whole and its caller did not read. */
	check(): void {
		for (const [life, tries] of this.tries) {
			if (!life.isKilled) {
				this.checkLife(life, tries);
			}
		}
	}

	private checkLife(life: HostLife, tries: readonly TryResult[]): void {
		const lines = life.host.process.lines.map((line) => parseLine(line));
		const whole = new Set(
			lines
				.filter(
					({message, fields}) =>
						message === 'request-answered' &&
						!unfinishedOutcome.test(fields?.outcome ?? ''),
				)
				.map(({fields}) => fields?.request),
		);
		const since = (time: number) =>
			life.stoppedAt === undefined
				? 'without a stop'
				: `${Math.round(time - life.stoppedAt)} ms after SIGTERM`;
		for (const {id, status, sentAt, endedAt} of tries.filter(
			({isComplete, isAbandoned}) => !isComplete && !isAbandoned,
		)) {
			if (whole.has(id)) {
				this.record.report({
					check: 'counted as whole and not received',
					subject: id,
					detail: `${life.name}, status ${status}, sent ${since(sentAt)}, ended ${since(endedAt)}`,
					requests: [id],
				});
			}
		}

		const counted = lines.find(({message}) => message === 'forwarding-stopped')
			?.fields?.wholeResponses;
		const received = tries.filter(
			({isComplete, isAbandoned}) => isComplete || isAbandoned,
		).length;
		if (counted !== undefined && counted > received) {
			this.record.report({
				check: 'more answers counted as whole than received',
				subject: life.name,
				detail: `${counted} counted, ${received} received`,
				requests: [],
			});
		}
	}
}

function parseLine(line: string): LogLine {
	try {
		return JSON.parse(line) as LogLine;
	} catch {
		return {};
	}
}
