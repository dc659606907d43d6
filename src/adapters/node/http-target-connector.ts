import {type TargetDefinition} from '../../contracts/fleet-document.js';
import {TargetConnector} from '../../contracts/target-connector.js';
import {HttpEngine} from './http-engine.js';
import {HttpPlainService} from './http-plain-service.js';

/** Creates clients that reach targets over HTTP. */
export class HttpTargetConnector extends TargetConnector {
	constructor(private readonly connectTimeoutMilliseconds: number) {
		super();
	}

	connectEngine(target: TargetDefinition): HttpEngine {
		return new HttpEngine({
			address: target.address,
			connectTimeoutMilliseconds: this.connectTimeoutMilliseconds,
		});
	}

	connectService(target: TargetDefinition): HttpPlainService {
		return new HttpPlainService({
			address: target.address,
			connectTimeoutMilliseconds: this.connectTimeoutMilliseconds,
		});
	}
}
