import {type Clock} from '../../base/common/clock.js';

/** Collaborators and thresholds of the accept pressure. */
export type AcceptPressureOptions = {
	readonly clock: Clock;
	/** Turns in a row, each of which accepts a connection, after which others are taken to wait. */
	readonly turns?: number;
	/** Mean length of these turns from which the wait matters. A backlog of 400 connections then takes 4 s. */
	readonly turnMilliseconds?: number;
	/** Turns in a row that do no other work. */
	readonly maximumAcceptingTurns?: number;
};

/**
 * Decides which turns of the event loop accept a connection and do no other work. Node.js accepts one connection a turn,
 * so that on a host with little processor time the work of open requests in each turn keeps the others waiting.
 */
export class AcceptPressure {
	private readonly options: Required<AcceptPressureOptions>;
	private hasAccepted = false;
	/** Turns in a row that have accepted a connection. */
	private streak = 0;
	private streakBeganAt = 0;
	private isPressed = false;
	private acceptingTurns = 0;

	constructor(options: AcceptPressureOptions) {
		this.options = {
			turns: 8,
			turnMilliseconds: 10,
			maximumAcceptingTurns: 16,
			...options,
		};
	}

	/** True while requests wait for the listener. */
	get isActive(): boolean {
		return this.isPressed;
	}

	/** True in a turn that is to do no work. */
	get isHolding(): boolean {
		return this.acceptingTurns > 0;
	}

	/** Records that a connection was accepted. */
	recordAccepted(): void {
		this.hasAccepted = true;
	}

	/** Ends a turn. Returns true if it may do work, false if the next one is to accept a connection first. */
	endTurn(): boolean {
		const {clock, turns, turnMilliseconds, maximumAcceptingTurns} =
			this.options;
		const now = clock.monotonic();
		if (!this.hasAccepted) {
			this.streak = 0;
			this.isPressed = false;
			this.acceptingTurns = 0;
			return true;
		}

		this.hasAccepted = false;
		if (this.streak === 0) {
			this.streakBeganAt = now;
		}

		this.streak++;
		this.isPressed ||=
			this.streak > turns &&
			now - this.streakBeganAt >= (this.streak - 1) * turnMilliseconds;
		if (!this.isPressed || this.acceptingTurns >= maximumAcceptingTurns) {
			this.acceptingTurns = 0;
			return true;
		}

		this.acceptingTurns++;
		return false;
	}
}
