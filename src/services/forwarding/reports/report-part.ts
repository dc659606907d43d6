import {type DescMessage, type MessageInitShape} from '@bufbuild/protobuf';
import {
	type ReportRequest,
	type ReportRequestSchema,
	type ReportResponse,
	type ReportResponseSchema,
} from '../../../generated/daisylever/owner/v1/owner_pb.js';

/** Fields of a message that has not been created. A message among them would give the result its type. */
type Fields<Schema extends DescMessage> = Omit<
	Exclude<MessageInitShape<Schema>, {readonly $typeName: string}>,
	'$typeName' | '$unknown'
>;

/** Fields of a report that one part sets. */
export type ReportFields = Fields<typeof ReportRequestSchema>;

/** Fields of the response to a report that one part sets. */
export type ReportResponseFields = Fields<typeof ReportResponseSchema>;

/** What is known of the sender of a response. */
export type ResponseSender = {
	/** `host:port` of the host that answered. */
	readonly address: string;
	/** Longest time since the host that answered read its state. */
	readonly ageMilliseconds: number;
};

/**
 * One subject of the reports between hosts, with its own fields and state. A host of an earlier build sends and reads
 * none of them: absent fields mean that the sender does not tell, never that there is nothing.
 */
export abstract class ReportPart {
	/** True when the response must not be held for a change. */
	needsPromptResponse(_request: ReportRequest): boolean {
		return false;
	}

	/** Fields for the report of this host to the owner or a relay, those of the hosts that report to this one included. */
	abstract requestFields(): ReportFields;

	/** Takes the fields of a report that this host accepts as the owner or as a relay. */
	abstract handleRequest(request: ReportRequest): void;

	/** Fields for the response of this host, as the owner or as a relay. */
	abstract responseFields(request: ReportRequest): ReportResponseFields;

	/** Takes the fields of a response of the owner or a relay. */
	abstract handleResponse(
		response: ReportResponse,
		sender: ResponseSender,
	): void;

	/** Called instead of a report while this host is the owner. */
	abstract reportLocally(): void;
}
