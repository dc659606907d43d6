import {type Clock} from '../../base/common/clock.js';
import {type IncarnationId} from '../../contracts/ids.js';
import {defaultMembershipTimeouts} from '../../core/membership/membership.js';
import {type MembershipTask} from '../membership-task.js';
import {IncarnationDirectory} from './claim-manager.js';

/** Determines from the membership whether an incarnation is live. A silent host counts as live until its status is `gone`. */
export class MembershipIncarnationDirectory extends IncarnationDirectory {
	constructor(
		private readonly own: IncarnationId,
		private readonly clock: Clock,
		private readonly membership: () => MembershipTask,
	) {
		super();
	}

	isLive(incarnation: IncarnationId, claimedAt: number): boolean {
		if (incarnation === this.own) {
			return true;
		}

		const member = this.membership().members.find(
			(candidate) => candidate.incarnation === incarnation,
		);
		if (member) {
			return member.status !== 'gone';
		}

		// A host that has just started can claim a key before this host receives its first heartbeat.
		return (
			this.clock.wall() - claimedAt <
			defaultMembershipTimeouts.goneAfterMilliseconds
		);
	}
}
