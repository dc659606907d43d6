import {create} from '@bufbuild/protobuf';
import {
	type QuotaReport,
	type QuotaResponse,
} from '../../../core/quotas/quota-messages.js';
import {type QuotaExchange} from '../../../core/quotas/quota-exchange.js';
import {
	QuotaReportSchema,
	type QuotaReport as QuotaReportMessage,
	type QuotaResponse as QuotaResponseMessage,
	type ReportRequest,
	type ReportResponse,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';
import {
	ReportPart,
	type ReportFields,
	type ResponseSender,
	type ReportResponseFields,
} from './report-part.js';

/** Largest age that the field of a response holds, far above that of usable word. */
const maximumAgeMilliseconds = 3_600_000;
const millionths = 1_000_000;

/** Reports the use of customers' quotas, and passes on the words of the owner. */
export class QuotaReportPart extends ReportPart {
	constructor(private readonly exchange: QuotaExchange) {
		super();
	}

	requestFields(): ReportFields {
		return this.exchange.isActive
			? {quotas: toReportField(this.exchange.report())}
			: {};
	}

	handleRequest({host, quotas}: ReportRequest): void {
		if (quotas && this.exchange.isActive) {
			this.exchange.applyReport(host, fromReportField(quotas));
		}
	}

	override needsPromptResponse({quotas}: ReportRequest): boolean {
		return this.exchange.isActive && quotas?.isWaiting === true;
	}

	responseFields({host, quotas}: ReportRequest): ReportResponseFields {
		const response =
			quotas && this.exchange.isActive
				? this.exchange.respond(host, quotas)
				: undefined;
		return response && response.ageMilliseconds < maximumAgeMilliseconds
			? {quotas: toResponseField(response)}
			: {};
	}

	handleResponse(
		{quotas}: ReportResponse,
		{ageMilliseconds}: ResponseSender,
	): void {
		if (quotas) {
			this.exchange.applyResponse(fromResponseField(quotas), ageMilliseconds);
		}
	}

	reportLocally(): void {
		if (this.exchange.isActive) {
			this.exchange.runAsOwner();
		}
	}
}

function toReportField({uses, ...report}: QuotaReport): QuotaReportMessage {
	return create(QuotaReportSchema, {
		...report,
		uses: uses.map(({key, demand, ...use}) => ({
			...use,
			customer: key,
			demand: Math.min(2 ** 32 - 1, Math.max(0, Math.round(demand))),
		})),
	});
}

function fromReportField({
	process,
	sequence,
	isWaiting,
	uses,
}: QuotaReportMessage): QuotaReport {
	return {
		process,
		sequence,
		isWaiting,
		uses: uses.map(({customer, units, unconfirmedUnits, demand}) => ({
			key: customer,
			units,
			unconfirmedUnits,
			demand,
		})),
	};
}

function toResponseField({sequence, ageMilliseconds, words}: QuotaResponse) {
	return {
		sequence,
		ageMilliseconds: Math.ceil(ageMilliseconds),
		words: words.map((word) => ({
			customer: word.key,
			admittedMillionths: Math.floor(word.admittedShare * millionths),
			sustainedMillionths: Math.floor(word.sustainedShare * millionths),
			usedPercent: Math.min(
				2 ** 31,
				Math.max(0, Math.round(word.usedShare * 100)),
			),
			isLimited: word.isLimited,
			isPending: word.isPending,
		})),
	};
}

function fromResponseField({
	sequence,
	ageMilliseconds,
	words,
}: QuotaResponseMessage): QuotaResponse {
	return {
		sequence,
		ageMilliseconds,
		words: words.map((word) => ({
			key: word.customer,
			admittedShare: Math.min(1, word.admittedMillionths / millionths),
			sustainedShare: Math.min(1, word.sustainedMillionths / millionths),
			usedShare: word.usedPercent / 100,
			isLimited: word.isLimited,
			isPending: word.isPending,
		})),
	};
}
