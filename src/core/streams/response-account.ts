/** How the response to a request that was read completely left this process. */
export type ResponseEnd =
	/** All of its bytes were passed to the operating system. */
	| 'whole'
	/** This host ended it early. */
	| 'interrupted'
	/** The caller closed its connection first. */
	| 'abandoned';

/** Counts of the requests that a process has read completely. */
export type ResponseCounts = {
	readonly readRequests: number;
	readonly wholeResponses: number;
	readonly interruptedResponses: number;
	readonly abandonedResponses: number;
	/** Requests whose responses have not ended. */
	readonly openRequests: number;
};

/** Accounts for the requests that a process has read completely, independently of what the process believes about them. */
export class ResponseAccount {
	private readRequests = 0;
	private readonly ends: Record<ResponseEnd, number> = {
		whole: 0,
		interrupted: 0,
		abandoned: 0,
	};

	/** Records that the last byte of a request was read. */
	recordRead(): void {
		this.readRequests++;
	}

	/** Records how the response to such a request ended. */
	recordEnd(end: ResponseEnd): void {
		this.ends[end]++;
	}

	/** Returns the counts since the process started. */
	counts(): ResponseCounts {
		const {whole, interrupted, abandoned} = this.ends;
		return {
			readRequests: this.readRequests,
			wholeResponses: whole,
			interruptedResponses: interrupted,
			abandonedResponses: abandoned,
			openRequests: this.readRequests - whole - interrupted - abandoned,
		};
	}
}
