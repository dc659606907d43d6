import {Disposable} from '../../base/common/disposable.js';
import {type Dispatcher, type DispatcherMessage} from './dispatcher.js';

const tickMilliseconds = 10;

/** Runs the dispatcher of one pool for as long as the document names the pool or requests run on it. */
export abstract class AbstractPoolDispatch extends Disposable {
	abstract readonly dispatcher: Dispatcher;
	private timer: NodeJS.Timeout | undefined;
	private isRetired = false;
	private disposed = false;

	/** True when the dispatcher takes no more work. */
	protected get isDisposed(): boolean {
		return this.disposed;
	}

	/** Starts the task. */
	start(): void {
		void this.dispatcher.run();
		this.timer = setInterval(() => {
			// Ticks drive hedges and deadlines, of which an idle dispatcher has none.
			if (
				this.dispatcher.runningAttempts > 0 ||
				this.dispatcher.queueLength > 0
			) {
				this.post({kind: 'ticked'});
			}
		}, tickMilliseconds);
	}

	/** Tells the dispatcher of a change around it. */
	post(message: DispatcherMessage): void {
		this.dispatcher.post(message);
	}

	/** Lets running requests end and then disposes. For a pool that the document no longer names. */
	retire(): void {
		this.isRetired = true;
		this.disposeIfIdle();
	}

	dispose(): void {
		this.disposed = true;
		clearInterval(this.timer);
		this.dispatcher.dispose();
	}

	/** Called after a request ended. */
	protected disposeIfIdle(): void {
		if (this.isRetired && this.isIdle()) {
			this.dispose();
		}
	}

	/** True when no request runs or waits. */
	protected abstract isIdle(): boolean;
}
