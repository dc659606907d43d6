import {type Disposable} from '../base/common/disposable.js';
import {type Engine} from './engine.js';
import {type TargetDefinition} from './fleet-document.js';
import {type PlainService} from './plain-service.js';

/** Creates the clients for targets. Whoever calls a method must dispose the client that it returns. */
export abstract class TargetConnector {
	/** Creates a client for an engine worker. */
	abstract connectEngine(target: TargetDefinition): Engine & Disposable;

	/** Creates a client for an instance of a plain service. */
	abstract connectService(target: TargetDefinition): PlainService & Disposable;
}
