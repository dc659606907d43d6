import {ManualClock} from '../../src/base/common/clock.js';
import {SeededRandomSource} from '../../src/base/common/random-source.js';
import {
	type Customer,
	type CustomerQuota,
} from '../../src/contracts/forwarding-document.js';
import {type CustomerName} from '../../src/contracts/ids.js';
import {QuotaExchange} from '../../src/core/quotas/quota-exchange.js';
import {
	allowedExcess,
	type QuotaTolerance,
} from '../../src/core/quotas/quota-policy.js';

export const tolerance: QuotaTolerance = {
	windowSeconds: 8,
	excessShare: 0.1,
	slackUnits: 7500,
};
const windowMilliseconds = tolerance.windowSeconds * 1000;
const stepMilliseconds = 5;
const hostsPerRelay = 16;

/** A customer with the load that its callers cause. */
export type LoadedCustomer = {
	readonly name: CustomerName;
	quota: CustomerQuota;
	/** Requested units per second at a time, without repetitions. */
	readonly load: (now: number) => number;
};

type Sent = {readonly at: number; readonly units: number};

/** What was counted for one customer. */
export class CustomerResult {
	readonly sent: Sent[] = [];
	/** Units that one bucket for the whole fleet would have admitted, and those that it refused. */
	referenceUnits = 0;
	referenceRefusedUnits = 0;
	refusals = 0;
	requests = 0;
	private level: number;
	private levelAt = 0;
	private lowered: {at: number; quota: CustomerQuota} | undefined;

	constructor(private readonly quota: CustomerQuota) {
		this.level = quota.burst;
	}

	get sentUnits(): number {
		return this.sent.reduce((sum, {units}) => sum + units, 0);
	}

	lower(quota: CustomerQuota, at: number): void {
		this.lowered = {quota, at};
	}

	/** Counts a first try of a request. */
	offer(units: number, now: number): void {
		const {perSecond, burst} = this.lowered?.quota ?? this.quota;
		this.level = Math.min(
			burst,
			this.level + (perSecond * (now - this.levelAt)) / 1000,
		);
		this.levelAt = now;
		this.requests++;
		if (this.level > 0) {
			this.level -= units;
			this.referenceUnits += units;
		} else {
			this.referenceRefusedUnits += units;
		}
	}

	/** The units of the fullest window as a share of what a window may hold. */
	fullestWindow(): number {
		let fullest = 0;
		let units = 0;
		let first = 0;
		for (const {at, units: added} of this.sent) {
			units += added;
			while (this.sent[first]!.at <= at - windowMilliseconds) {
				units -= this.sent[first]!.units;
				first++;
			}

			const {lowered} = this;
			// A lower limit binds one window after all hosts have had it for 3 s.
			const isLowered =
				lowered !== undefined && at >= lowered.at + 3000 + windowMilliseconds;
			const quota = isLowered ? lowered.quota : this.quota;
			const allowed =
				quota.perSecond * tolerance.windowSeconds +
				quota.burst +
				allowedExcess(quota, tolerance);
			fullest = Math.max(fullest, units / allowed);
		}

		return fullest;
	}
}

type Host = {
	readonly id: string;
	process: number;
	exchange: QuotaExchange;
	isAlive: boolean;
	frozenUntil: number;
	/** Hosts of another group do not hear this one. */
	group: number;
	hostCount: number;
	heardAt: number;
	reportAt: number;
	/** Relay that did not respond, and until when it is avoided. */
	avoidsRelayUntil: number;
	isUrgent: boolean;
	weight: number;
	needsUpdate: boolean;
};

export type FleetOptions = {
	readonly seed: number;
	readonly hosts: number;
	readonly customers: LoadedCustomer[];
	/** Share of the reports and responses that are lost. */
	readonly loss?: number;
	/** Usual units of a request. */
	readonly requestUnits?: number;
};

/** A fleet in virtual time with the classes that decide in a host, and messages with delay, loss and repetition. */
export class QuotaFleet {
	readonly clock = new ManualClock(1000);
	readonly random: SeededRandomSource;
	readonly hosts: Host[] = [];
	readonly results = new Map<CustomerName, CustomerResult>();
	owner = 0;
	regularReports = 0;
	urgentReports = 0;
	namedCustomers = 0;
	private ownerLostAt = Number.POSITIVE_INFINITY;
	/** Deliveries by the step in which they are due. */
	private readonly deliveries = new Map<number, Array<() => void>>();
	private readonly next = new Map<CustomerName, number>();
	private processes = 0;

	constructor(readonly options: FleetOptions) {
		this.random = new SeededRandomSource(options.seed);
		for (const {name, quota} of options.customers) {
			this.results.set(name, new CustomerResult(quota));
		}

		for (let index = 0; index < options.hosts; index++) {
			this.addHost();
		}

		this.spreadLoad();
	}

	get now(): number {
		return this.clock.monotonic();
	}

	addHost(): void {
		const host: Omit<Host, 'process' | 'exchange'> = {
			id: `h${this.hosts.length}`,
			isAlive: true,
			frozenUntil: 0,
			group: 0,
			hostCount: 8,
			heardAt: this.now,
			reportAt: this.now + this.random.next() * 500,
			avoidsRelayUntil: 0,
			isUrgent: false,
			weight: 1,
			needsUpdate: false,
		};
		const started = this.restart(host);
		this.hosts.push(started);
	}

	/** Starts a new process on a host. */
	restart(stopped: Omit<Host, 'process' | 'exchange'>): Host {
		this.processes++;
		const exchange = new QuotaExchange({
			clock: this.clock,
			random: this.random,
			tolerance,
			process: this.processes,
			hostCount: () =>
				this.isOwner(host) ? this.countHosts() : host.hostCount,
			isOwner: () => this.isOwner(host),
			onWordWanted() {
				host.isUrgent = true;
			},
		});
		exchange.applyCustomers(this.customers());
		const host: Host = Object.assign(stopped, {
			process: this.processes,
			isAlive: true,
			hostCount: 8,
			exchange,
		});
		return host;
	}

	/** Sets a lower or higher limit on all hosts. */
	setQuota(name: CustomerName, quota: CustomerQuota): void {
		const customer = this.options.customers.find((each) => each.name === name)!;
		customer.quota = quota;
		this.results.get(name)!.lower(quota, this.now);
		for (const {exchange} of this.hosts) {
			exchange.applyCustomers(this.customers());
		}
	}

	/** Spreads the channels of callers unevenly over the hosts. */
	spreadLoad(): void {
		for (const host of this.hosts) {
			host.weight = this.random.next() ** 3 + 0.05;
		}
	}

	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		while (this.now < end) {
			this.clock.advance(stepMilliseconds);
			this.step();
		}
	}

	/** Runs an action in the step in which it is due. */
	schedule(at: number, deliver: () => void): void {
		const step = Math.max(
			this.now + stepMilliseconds,
			Math.ceil(at / stepMilliseconds) * stepMilliseconds,
		);
		const due = this.deliveries.get(step) ?? [];
		due.push(deliver);
		this.deliveries.set(step, due);
	}

	/** True when one host hears the other. */
	private isConnected(one: Host, other: Host): boolean {
		return one.isAlive && other.isAlive && one.group === other.group;
	}

	private isOwner(host: Host): boolean {
		return this.hosts[this.owner] === host;
	}

	private customers(): Customer[] {
		return this.options.customers.map(({name, quota}) => ({
			name,
			quota,
			keyDigests: [],
			priority: undefined,
		}));
	}

	private countHosts(): number {
		return this.hosts.filter(({heardAt}) => this.now - heardAt < 3000).length;
	}

	private step(): void {
		this.electOwner();
		const due = this.deliveries.get(this.now) ?? [];
		this.deliveries.delete(this.now);
		for (const deliver of due) {
			deliver();
		}

		for (const host of this.hosts) {
			if (host.isAlive && this.now >= host.frozenUntil) {
				this.runHost(host);
			}
		}

		for (const customer of this.options.customers) {
			this.createRequests(customer);
		}
	}

	/** The lease of an owner that is lost passes to another host after 2.5 s. */
	private electOwner(): void {
		const owner = this.hosts[this.owner]!;
		const isServing =
			owner.isAlive && owner.group === 0 && this.now >= owner.frozenUntil;
		if (isServing) {
			this.ownerLostAt = Number.POSITIVE_INFINITY;
			return;
		}

		this.ownerLostAt = Math.min(this.ownerLostAt, this.now);
		if (this.now - this.ownerLostAt >= 2500) {
			this.owner = this.hosts.findIndex(
				(host) =>
					host.isAlive && host.group === 0 && this.now >= host.frozenUntil,
			);
		}
	}

	private runHost(host: Host): void {
		if (host.needsUpdate && this.now % 20 === 0) {
			host.needsUpdate = host.exchange.update();
		}

		if (this.isOwner(host)) {
			host.heardAt = this.now;
			if (this.now % 100 === 0 || host.isUrgent) {
				host.isUrgent = false;
				host.exchange.runAsOwner();
			}

			return;
		}

		const isRegular = this.now >= host.reportAt;
		if (isRegular || host.isUrgent) {
			if (isRegular) {
				host.reportAt = this.now + this.reportInterval;
				this.regularReports++;
			} else {
				this.urgentReports++;
			}

			host.isUrgent = false;
			this.sendReport(host, this.receiverOf(host));
		}
	}

	private get reportInterval(): number {
		return this.hosts.length > 12 ? 500 : 260;
	}

	private receiverOf(host: Host): Host {
		const index = this.hosts.indexOf(host);
		const relays =
			this.hosts.length > 12 ? Math.ceil(this.hosts.length / hostsPerRelay) : 0;
		// Host 0 begins as the owner, the next ones are relays.
		const isDirect =
			relays === 0 || index <= relays || this.now < host.avoidsRelayUntil;
		return isDirect
			? this.hosts[this.owner]!
			: this.hosts[1 + (index % relays)]!;
	}

	private sendReport(host: Host, receiver: Host): void {
		const {exchange} = host;
		const report = exchange.report();
		this.namedCustomers += report.uses.length;
		const sentAt = this.now;
		let isAnswered = false;
		this.send(host, receiver, () => {
			const isOwner = this.isOwner(receiver);
			if (!isOwner && this.now - receiver.heardAt > 2000) {
				return;
			}

			receiver.exchange.applyReport(host.id, report);

			const held = report.isWaiting ? 0 : 250;
			this.schedule(this.now + held, () => {
				const response = receiver.exchange.respond(host.id, report);
				const {hostCount} = receiver;
				const count = isOwner ? this.countHosts() : hostCount;
				this.send(receiver, host, () => {
					isAnswered = true;
					host.heardAt = this.now;
					host.hostCount = count;
					if (response && host.exchange === exchange) {
						this.namedCustomers += response.words.length;
						exchange.applyResponse(response, this.now - sentAt - held);
					}
				});
			});
		});
		this.schedule(sentAt + 1000, () => {
			if (!isAnswered && !this.isOwner(receiver)) {
				host.avoidsRelayUntil = this.now + 5000;
			}
		});
	}

	/** Delivers a message after a short time, never or twice. A frozen receiver handles it later. */
	private send(from: Host, to: Host, deliver: () => void): void {
		const {loss = 0.003} = this.options;
		const copies =
			this.random.next() < loss ? 0 : this.random.next() < 0.02 ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const attempt = () => {
				if (!this.isConnected(from, to)) {
					return;
				}

				if (this.now < to.frozenUntil) {
					this.schedule(to.frozenUntil, attempt);
				} else {
					deliver();
				}
			};

			const tail = this.random.next() < 0.02 ? 100 : 0;
			this.schedule(this.now + 1 + this.random.next() * 8 + tail, attempt);
		}
	}

	private createRequests(customer: LoadedCustomer): void {
		const {name, load} = customer;
		const usual = this.options.requestUnits ?? 1500;
		let at = this.next.get(name) ?? this.now;
		while (at <= this.now) {
			const units = Math.round(usual * (0.2 + 1.6 * this.random.next()));
			const isDue = this.next.has(name);
			const rate = load(this.now);
			this.next.set(name, at + stepMilliseconds);
			if (rate === 0) {
				return;
			}

			if (isDue) {
				this.results.get(name)!.offer(units, this.now);
				this.call(name, units, 0);
			}

			at += (-Math.log(1 - this.random.next()) * usual * 1000) / rate;
			this.next.set(name, at);
		}
	}

	private pickHost(): Host {
		let total = 0;
		for (const {isAlive, weight} of this.hosts) {
			total += isAlive ? weight : 0;
		}

		let position = this.random.next() * total;
		for (const host of this.hosts) {
			position -= host.isAlive ? host.weight : 0;
			if (host.isAlive && position <= 0) {
				return host;
			}
		}

		return this.hosts.find(({isAlive}) => isAlive)!;
	}

	private call(name: CustomerName, units: number, tries: number): void {
		const host = this.pickHost();
		const result = this.results.get(name)!;
		const repeat = (milliseconds: number) => {
			if (tries < 3) {
				this.schedule(this.now + milliseconds, () => {
					this.call(name, units, tries + 1);
				});
			}
		};

		if (this.now < host.frozenUntil) {
			repeat(500);
			return;
		}

		const account = host.exchange.account(name)!;
		account.request(units, (decision) => {
			if (decision.kind === 'refused') {
				result.refusals++;
				repeat(decision.retryMilliseconds);
				return;
			}

			if (this.random.next() < 0.03) {
				// The target turns the request away.
				this.schedule(this.now + 30, () => {
					account.giveBack(units);
				});
				repeat(100);
				return;
			}

			result.sent.push({at: this.now, units});
		});
		host.needsUpdate ||= account.hasWaiting;
	}
}

/** Fewest units that a quota of a customer in the scenarios admits in a second, by the index of the customer: a few large ones. */
const quotaSizes = [326_556, 326_556, 60_000, 20_000, 20_000, 5000, 2000];

/** By then all hosts have word of the first owner. */
const loadStartMilliseconds = 4000;

/** Customers as in deployment B, three of which send six times their usual rate for 12 s. */
export function createCustomers(
	count: number,
	usualShare = 0.3,
): LoadedCustomer[] {
	return Array.from({length: count}, (_, index) => {
		const perSecond = quotaSizes[Math.min(index, quotaSizes.length - 1)]!;
		const isHot = index % 3 === 0 && index < 9;
		return {
			name: `c${index}` as CustomerName,
			quota: {unit: 'tokens', perSecond, burst: perSecond, plainUnits: 500},
			load(now) {
				const isBurst = isHot && now >= 9000 && now < 21_000;
				return now < loadStartMilliseconds
					? 0
					: perSecond * usualShare * (isBurst ? 6 : 1);
			},
		};
	});
}

/** Runs a fleet for 25 s. With faults, one comes every 1.5 s, the owner is lost once, and a limit is lowered. */
export function runScenario(
	seed: number,
	hosts: number,
	{hasFaults}: {readonly hasFaults: boolean},
): QuotaFleet {
	const fleet = new QuotaFleet({seed, hosts, customers: createCustomers(16)});
	const {random} = fleet;
	const pick = () => fleet.hosts[random.integer(fleet.hosts.length)]!;
	const kill = (host: Host) => {
		host.isAlive = false;
		fleet.schedule(fleet.now + 1000 + random.next() * 4000, () => {
			fleet.restart(host);
		});
	};

	const freeze = (host: Host) => {
		host.frozenUntil = fleet.now + 500 + random.next() * 3000;
	};

	const cutOff = () => {
		const share = random.next() * 0.25;
		for (const host of fleet.hosts.filter(() => random.next() < share)) {
			host.group = 1;
			fleet.schedule(fleet.now + 2000 + random.next() * 4000, () => {
				host.group = 0;
			});
		}
	};

	const faults = [
		() => {
			kill(pick());
		},
		() => {
			freeze(pick());
		},
		cutOff,
		() => {
			fleet.addHost();
		},
		() => {
			fleet.spreadLoad();
		},
	];
	const ownerLoss = random.integer(14);
	fleet.run(4500);
	for (let fault = 0; fault < 14; fault++) {
		if (hasFaults && fault === ownerLoss) {
			(random.next() < 0.5 ? kill : freeze)(fleet.hosts[fleet.owner]!);
		} else if (hasFaults) {
			faults[random.integer(faults.length)]!();
		}

		const {name, quota} = fleet.options.customers[0]!;
		if (hasFaults && fault === 7) {
			const perSecond = quota.perSecond * 0.6;
			fleet.setQuota(name, {...quota, perSecond, burst: perSecond});
		}

		fleet.run(1500);
	}

	return fleet;
}
