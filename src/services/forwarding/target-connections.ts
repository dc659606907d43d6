import {buildConnector, Pool, type Dispatcher} from 'undici';
import {Disposable} from '../../base/common/disposable.js';

/** Options of the connections. */
export type TargetConnectionsOptions = {
	/** `host:port` of the target. */
	readonly address: string;
	readonly maximumConnections: number;
};

/** A target on the same network accepts within milliseconds; a longer wait means that it is gone. */
const connectMilliseconds = 400;
/** Idle connections are closed before a target closes them, so that a request rarely meets a closing one. */
const keepAliveMilliseconds = 4000;

/** The connections to one target. */
export class TargetConnections extends Disposable {
	private readonly pool: Pool;
	private isFailing = false;

	constructor(options: TargetConnectionsOptions) {
		super();
		const connect = buildConnector({timeout: connectMilliseconds});
		this.pool = new Pool(`http://${options.address}`, {
			connections: options.maximumConnections,
			pipelining: 1,
			connect: (target, callback) => {
				connect(target, (...result: Parameters<typeof callback>) => {
					const [, socket] = result;
					socket?.prependListener('error', () => {
						this.noteFailure();
					});
					callback(...result);
				});
			},
			// Silence is judged by the request that waits, which knows what may be repeated.
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMilliseconds,
		});
	}

	/** Sends requests. */
	get dispatcher(): Dispatcher {
		return this.pool;
	}

	/**
	 * True while the error of a connection is handled. The HTTP client takes a reset of a connection that would close
	 * anyway for the end of its answer, so an answer that ends now is not whole.
	 */
	get isConnectionFailing(): boolean {
		return this.isFailing;
	}

	/** Takes no new requests. Running ones keep their connections until they end. */
	close(): void {
		void this.pool.close();
	}

	async dispose(): Promise<void> {
		await this.pool.destroy();
	}

	private noteFailure(): void {
		this.isFailing = true;
		process.nextTick(() => {
			this.isFailing = false;
		});
	}
}
