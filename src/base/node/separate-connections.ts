import {type Dispatcher} from 'undici';

/** Connections to one target apart from those of requests. A worker may send a second copy of an answer late, so no other answer may be expected on them. */
export type SeparateConnections = {
	readonly reportDispatcher: Dispatcher;
	/** Calls `use` with a dispatcher whose connection is opened for this call alone, and closes it afterwards. */
	withOwnConnection<T>(use: (dispatcher: Dispatcher) => Promise<T>): Promise<T>;
};
