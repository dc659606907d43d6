import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {type LogOffset} from '../contracts/ids.js';
import {type LogBatch} from '../contracts/log-service.js';
import {type Disposable} from '../base/common/disposable.js';
import {PeerClient, type PeerTls} from './peer-client.js';
import {PeerError, PeerRecordSource} from './peer-record-source.js';

/** Options of a peer directory. */
export type PeerDirectoryOptions = {
	readonly secret: string;
	readonly tls?: PeerTls | undefined;
	/** Peer addresses from the settings, for a host that starts during a log outage without records of other hosts. */
	readonly seedAddresses: readonly string[];
	/** Timeout of a heartbeat. Default: that of the peer client. */
	readonly timeoutMilliseconds?: number;
};

// Only the peers that have applied the most records are asked. Asking further ones is of no use.
const maximumRequestedPeers = 4;

/** Clients for other hosts by address, and catch-up from the hosts that have applied the most control records. */
export class PeerDirectory extends PeerRecordSource implements Disposable {
	private readonly clients = new Map<string, PeerClient>();
	private readonly offsets = new Map<string, number>();

	constructor(private readonly options: PeerDirectoryOptions) {
		super();
	}

	/** Returns the client for an address and creates it if necessary. */
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

	/** Sets the control stream offset up to which the host at an address has applied records. */
	setControlOffset(address: string, offset: number): void {
		this.offsets.set(address, offset);
	}

	/** Disposes the clients of all addresses other than the given ones and the seed addresses. */
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
		return this.firstSuccess(async (client) => client.records(from, limit));
	}

	snapshot(): ResultAsync<unknown, PeerError> {
		return this.firstSuccess(async (client) => client.snapshot());
	}

	dispose(): void {
		for (const client of this.clients.values()) {
			client.dispose();
		}
	}

	private firstSuccess<T>(
		request: (client: PeerClient) => Promise<Result<T, PeerError>>,
	): ResultAsync<T, PeerError> {
		const requestInOrder = async (): Promise<Result<T, PeerError>> => {
			let failure = new PeerError('No peer address is known.');
			for (const address of this.addressesByOffset()) {
				const result = await request(this.client(address));
				if (result.isOk()) {
					return ok(result.value);
				}

				failure = result.error;
			}

			return err(failure);
		};

		return new ResultAsync(requestInOrder());
	}

	private addressesByOffset(): string[] {
		const addresses = new Set([
			...this.clients.keys(),
			...this.options.seedAddresses,
		]);
		return [...addresses]
			.sort(
				(left, right) =>
					(this.offsets.get(right) ?? -1) - (this.offsets.get(left) ?? -1),
			)
			.slice(0, maximumRequestedPeers);
	}
}
