/* eslint-disable camelcase -- these are the names of the platform. */
/** The orders and reports of a stand-in model worker, as the pages describe them. */

/** Age of what a report says. */
const reportLagMilliseconds = 450;

/** Returns a response of a worker to a call of the system. It names no request. */
export function jsonResponse(status, content) {
	const text = JSON.stringify(content);
	return `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

/** Models of one worker. It carries out one order at a time. */
export class Engine {
	seq = 0;
	isBusy = false;
	orders = 0;
	/** Decides how an order is answered: returns false to leave it unanswered. */
	onAnswer = (worker, socket, text) => {
		socket.write(text);
	};

	constructor(models, loadMilliseconds) {
		this.models = new Map(models.map((name) => [name, []]));
		this.loadMilliseconds = loadMilliseconds;
		this.states = [{at: -Infinity, ...this.state()}];
	}

	state() {
		return {
			models: [...this.models].map(([name, adapters]) => ({
				name,
				version: 1,
				adapters: [...adapters],
			})),
			isBusy: this.isBusy,
			seq: this.seq,
		};
	}

	change() {
		this.states.push({at: performance.now(), ...this.state()});
	}

	handle(worker, {path, body, socket}) {
		if (path === '/report') {
			const time = performance.now() - reportLagMilliseconds;
			const {models, isBusy, seq} = this.states.findLast(({at}) => at <= time);
			socket.write(
				jsonResponse('200 OK', {
					phase: 'mixed',
					born: worker.entry.born,
					models,
					busy: isBusy,
					seq,
					queued: 0,
					running: 0,
					kv_used: 0,
					kv_total: 144_114,
					handles: 0,
				}),
			);
			return;
		}

		const order = JSON.parse(body.toString());
		this.orders++;
		const status = this.carryOut(order);
		this.onAnswer(worker, socket, jsonResponse(status, {}), {
			...order,
			status,
			number: this.orders,
		});
	}

	carryOut({opcode, model, adapter, expected}) {
		if (expected !== undefined && expected !== this.seq) {
			return '409 Conflict';
		}

		if (adapter !== undefined) {
			return this.carryOutAdapter(opcode, this.models.get(model), adapter);
		}

		if (this.isBusy) {
			return '409 Conflict';
		}

		if (this.models.has(model) === (opcode === 'load')) {
			return '200 OK';
		}

		this.seq++;
		this.isBusy = true;
		this.change();
		setTimeout(() => {
			this.isBusy = false;
			if (opcode === 'load') {
				this.models.set(model, []);
			} else {
				this.models.delete(model);
			}

			this.change();
		}, this.loadMilliseconds);
		return '202 Accepted';
	}

	carryOutAdapter(opcode, adapters, adapter) {
		if (!adapters) {
			return '400 Bad Request';
		}

		if (adapters.includes(adapter) === (opcode === 'load')) {
			return '200 OK';
		}

		this.seq++;
		if (opcode === 'load') {
			adapters.push(adapter);
		} else {
			adapters.splice(adapters.indexOf(adapter), 1);
		}

		this.change();
		return opcode === 'load' ? '202 Accepted' : '200 OK';
	}
}
