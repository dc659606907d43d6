import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {type LogOffset} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';
import {type Disposable} from '../base/common/disposable.js';
import {PeerClient, type PeerTls} from './peer-client.js';
import {PeerError, PeerRecordSource} from './peer-record-source.js';

/** Options of the peer directory. */
export type PeerDirectoryOptions = {
	readonly secret: string;
	readonly tls?: PeerTls | undefined;
	/** Addresses from the settings, for a host that starts during a log outage and knows no other host. */
	readonly seedAddresses: readonly string[];
	readonly timeoutMilliseconds?: number;
};

// A host that catches up asks the peers that have folded most; more than a few cannot help.
const askedPeers = 4;

/** The clients for other hosts by address, and catch-up from the ones that folded most. */
export class PeerDirectory extends PeerRecordSource implements Disposable {
	private readonly clients = new Map<string, PeerClient>();
	private readonly offsets = new Map<string, number>();

	constructor(private readonly options: PeerDirectoryOptions) {
		super();
	}

	/** Returns the client for an address. */
	client(address: string): PeerClient {
		const existing = this.clients.get(address);
		if (existing) {
			return existing;
		}

		const created = new PeerClient({
			address,
			secret: this.options.secret,
			tls: this.options.tls,
			...(this.options.timeoutMilliseconds !== undefined && {
				timeoutMilliseconds: this.options.timeoutMilliseconds,
			}),
		});
		this.clients.set(address, created);
		return created;
	}

	/** Notes how far the host at an address has folded the control stream. */
	setControlOffset(address: string, offset: number): void {
		this.offsets.set(address, offset);
	}

	/** Drops the clients of all other addresses. */
	retain(addresses: Iterable<string>): void {
		const wanted = new Set([...addresses, ...this.options.seedAddresses]);
		for (const [address, client] of this.clients) {
			if (!wanted.has(address)) {
				client.dispose();
				this.clients.delete(address);
				this.offsets.delete(address);
			}
		}
	}

	records(from: LogOffset, limit: number): ResultAsync<LogBatch, PeerError> {
		return this.firstAnswer(async (client) => client.records(from, limit));
	}

	snapshot(): ResultAsync<unknown, PeerError> {
		return this.firstAnswer(async (client) => client.snapshot());
	}

	dispose(): void {
		for (const client of this.clients.values()) {
			client.dispose();
		}
	}

	private firstAnswer<T>(
		ask: (client: PeerClient) => Promise<Result<T, PeerError>>,
	): ResultAsync<T, PeerError> {
		const answer = async (): Promise<Result<T, PeerError>> => {
			let failure = new PeerError('no peer is known');
			for (const address of this.bestAddresses()) {
				const result = await ask(this.client(address));
				if (result.isOk()) {
					return ok(result.value);
				}

				failure = result.error;
			}

			return err(failure);
		};

		return new ResultAsync(answer());
	}

	private bestAddresses(): string[] {
		const addresses = new Set([
			...this.clients.keys(),
			...this.options.seedAddresses,
		]);
		return [...addresses]
			.sort(
				(left, right) =>
					(this.offsets.get(right) ?? -1) - (this.offsets.get(left) ?? -1),
			)
			.slice(0, askedPeers);
	}
}
