import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {type ModelId} from '../../src/contracts/ids.js';
import {RefusedDemand} from '../../src/core/placement/refused-demand.js';

// Guards against an overload that hides itself: with every request beyond the capacity refused on arrival, the model
// that needs another replica would show no more demand than its replicas can serve.
test('refused requests count as demand for about the time that they would have been open', () => {
	const clock = new ManualClock();
	const demand = new RefusedDemand({clock});
	const model = 'm' as ModelId;
	for (let count = 0; count < 30; count++) {
		demand.record(model);
		clock.advance(100);
	}

	const counted = demand.counts().get(model) ?? 0;
	assert.ok(counted >= 13 && counted <= 16, `${counted}`);
	clock.advance(2000);
	assert.equal(demand.counts().size, 0);
});
