import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Assumed where the operating system does not say. The lowest usual limit. */
const usualDescriptors = 1024;

/** File descriptors that this process may have open. */
export function descriptorLimit(): number {
	try {
		const limits = readFileSync('/proc/self/limits', 'utf8');
		const [, limit] = /^Max open files\s+(\d+)/m.exec(limits) ?? [];
		return limit === undefined ? usualDescriptors : Number(limit);
	} catch {
		return usualDescriptors;
	}
}

/** Memory of the machine. */
export function machineMemoryBytes(): number {
	return totalmem();
}

/**
 * Growth of the heap, in percent of the live objects, until the next full garbage collection. Under load V8 lets it
 * grow fourfold, which a small machine has no memory for. A limit of the heap size would end the process instead.
 */
const heapGrowthPercent = 25;

/** Lets the garbage collector run before garbage fills a small machine. */
export function boundGarbage(): void {
	setFlagsFromString(`--heap-growing-percent=${heapGrowthPercent}`);
}

/** Returns a function that collects the young garbage, among which are the buffers of received bytes: V8 by itself waits for tens of megabytes of them. */
export function createYoungCollector(): () => void {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as (options: {type: 'minor'}) => void;
	return () => {
		collect({type: 'minor'});
	};
}
