import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../../src/base/common/clock.js';
import {type Disposable} from '../../src/base/common/disposable.js';
import {type Engine, type TargetReport} from '../../src/contracts/engine.js';
import {type FleetDocument} from '../../src/contracts/fleet-document.js';
import {type ArtifactKey, type TargetId} from '../../src/contracts/ids.js';
import {type PlainService} from '../../src/contracts/plain-service.js';
import {TargetConnector} from '../../src/contracts/target-connector.js';
import {TargetDirectory} from '../../src/services/targets/target-directory.js';

const target = 'sarto-1' as TargetId;
const artifact = 'model/hem-base@1' as ArtifactKey;

class UnusedConnector extends TargetConnector {
	connectEngine(): Engine & Disposable {
		return undefined as unknown as Engine & Disposable;
	}

	connectService(): PlainService & Disposable {
		throw new Error('these tests use no plain service');
	}
}

function report(incarnation: string, sequence: number): TargetReport {
	return {
		target,
		incarnation,
		sequence,
		leaving: false,
		artifacts: [{key: artifact, bytes: 1, state: 'resident'}],
	} as unknown as TargetReport;
}

function directoryWithReport() {
	const clock = new ManualClock();
	const directory = new TargetDirectory(new UnusedConnector(), clock);
	directory.applyDocument({
		pools: [
			{
				name: 'sarto-lm',
				kind: 'engine',
				targets: [{id: target, address: 'http://localhost:1'}],
			},
		],
	} as unknown as FleetDocument);
	directory.observeReport(report('first', 1), 0);
	return {clock, directory};
}

function isAbsent(directory: TargetDirectory): boolean {
	return directory.target(target)!.absentArtifacts.has(artifact);
}

// Guards against a request that spends all its attempts on a target that has already refused for lack of the model.
test('an artifact whose absence caused a refusal stays absent until a later report', () => {
	const {clock, directory} = directoryWithReport();
	clock.advance(100);
	directory.markArtifactAbsent(target, artifact);
	assert.ok(isAbsent(directory));
	clock.advance(50);
	// A peer forwards a report from before the refusal.
	directory.observeReport(report('first', 2), 60);
	assert.ok(isAbsent(directory));
	directory.observeReport(report('first', 3), 10);
	assert.ok(!isAbsent(directory));
});

// Guards against a restarted target that receives no requests because its previous incarnation lacked the model.
test('a new incarnation of a target starts without absent artifacts', () => {
	const {clock, directory} = directoryWithReport();
	clock.advance(100);
	directory.markArtifactAbsent(target, artifact);
	directory.observeReport(report('second', 1), 0);
	assert.ok(!isAbsent(directory));
});
