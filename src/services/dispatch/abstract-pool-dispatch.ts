import {Disposable} from '../../base/common/disposable.js';
import {type DispatcherMessage} from './dispatch-contracts.js';
import {type Dispatcher} from './dispatcher.js';

const tickIntervalMilliseconds = 10;

/** Runs the dispatcher of one pool while the document lists the pool or requests are in progress. */
export abstract class AbstractPoolDispatch extends Disposable {
	abstract readonly dispatcher: Dispatcher;
	private timer: NodeJS.Timeout | undefined;
	private isRetired = false;
	private disposed = false;

	/** True once the dispatcher accepts no further work. */
	protected get isDisposed(): boolean {
		return this.disposed;
	}

	/** Starts the dispatcher and its ticks. */
	start(): void {
		void this.dispatcher.run();
		this.timer = setInterval(() => {
			// Ticks drive hedges and deadlines, which an idle dispatcher does not have.
			if (
				this.dispatcher.runningAttempts > 0 ||
				this.dispatcher.queueLength > 0
			) {
				this.post({kind: 'ticked'});
			}
		}, tickIntervalMilliseconds);
	}

	/** Sends a message to the dispatcher. */
	post(message: DispatcherMessage): void {
		this.dispatcher.post(message);
	}

	/** Disposes of the dispatch after its requests have ended. Called when the document no longer lists the pool. */
	retire(): void {
		this.isRetired = true;
		this.disposeIfIdle();
	}

	dispose(): void {
		this.disposed = true;
		clearInterval(this.timer);
		this.dispatcher.dispose();
	}

	/** Completes a retirement when no request is left. Subclasses call it after each request. */
	protected disposeIfIdle(): void {
		if (this.isRetired && this.isIdle()) {
			this.dispose();
		}
	}

	/** True if no request is waiting or in progress. */
	protected abstract isIdle(): boolean;
}
