import {type Disposable} from '../base/common/disposable.js';
import {type Engine} from './engine.js';
import {type TargetDefinition} from './fleet-document.js';
import {type PlainService} from './plain-service.js';

/** Makes the objects through which targets are reached. The caller of a method disposes what it returns. */
export abstract class TargetConnector {
	abstract connectEngine(target: TargetDefinition): Engine & Disposable;
	abstract connectService(target: TargetDefinition): PlainService & Disposable;
}
