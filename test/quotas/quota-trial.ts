import {type CustomerName} from '../../src/contracts/ids.js';
import {QuotaFleet, type LoadedCustomer} from './quota-fleet.js';

const quota = (perSecond: number, burst = perSecond) => ({
	unit: 'tokens' as const, perSecond, burst, plainUnits: 500,
});
const hosts = Number(process.argv[2] ?? 8);
const seeds = Number(process.argv[3] ?? 3);
const mode = process.argv[4] ?? 'quiet';
for (let seed = 1; seed <= seeds; seed++) {
	const customers: LoadedCustomer[] = [];
	for (let i = 0; i < 16; i++) {
		const r = i < 3 ? 326_556 : i < 8 ? 20_000 : 2_000;
		const isHot = i === 0 || i === 4 || i === 9;
		customers.push({
			name: `c${i}` as CustomerName, quota: quota(r),
			load: (now) => r * 0.3 * (isHot && now > 11_000 && now < 26_000 ? (mode === 'hot6' ? 20 : 6) : 1),
		});
	}
	const fleet = new QuotaFleet({seed, hosts, customers});
	const t = Date.now();
	fleet.run(10_000);
	const before = [fleet.regularReports, fleet.urgentReports, fleet.namedCustomers];
	if (mode === 'faults') { /* later */ }
	for (let k = 0; k < 4; k++) { fleet.run(5000); fleet.spreadLoad(); }
	console.log(`seed ${seed} hosts ${hosts} ${Date.now() - t} ms; reports before ${before.join('/')} all ${fleet.regularReports}/${fleet.urgentReports}/${fleet.namedCustomers}`);
	for (const [name, r] of fleet.results) {
		const i = Number(name.slice(1));
		if (![0, 1, 4, 5, 9, 10].includes(i)) continue;
		console.log(`  ${name} window ${r.fullestWindow().toFixed(3)} sent/ref ${(r.sentUnits / r.referenceUnits).toFixed(3)} refRefused ${r.referenceRefusedUnits} refusals ${r.refusals}/${r.requests}`);
	}
}
