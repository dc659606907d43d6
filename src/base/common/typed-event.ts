import {CallbackDisposable, type Disposable} from './disposable.js';

/** An event that listeners can subscribe to. Listeners run synchronously, in order of subscription. */
export class TypedEvent<T> {
	private readonly listeners = new Set<(value: T) => void>();

	/** Adds a listener. Disposing the returned object removes it. */
	subscribe(listener: (value: T) => void): Disposable {
		this.listeners.add(listener);
		return new CallbackDisposable(() => {
			this.listeners.delete(listener);
		});
	}

	/** Calls all listeners with the value. */
	publish(value: T): void {
		for (const listener of this.listeners) {
			listener(value);
		}
	}
}
