import {CallbackDisposable, type Disposable} from './disposable.js';

/** A state change that listeners can subscribe to. Listeners run in order of subscription. */
export class TypedEvent<T> {
	private readonly listeners = new Set<(value: T) => void>();

	/** Adds a listener until the returned disposable is disposed. */
	subscribe(listener: (value: T) => void): Disposable {
		this.listeners.add(listener);
		return new CallbackDisposable(() => {
			this.listeners.delete(listener);
		});
	}

	/** Announces a change to all listeners. */
	publish(value: T): void {
		for (const listener of this.listeners) {
			listener(value);
		}
	}
}
