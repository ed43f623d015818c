/** The fleet as placement sees it: the live engines, as reported over the links of this entry. */
import type {Clock} from '../../base/common/clock.js';
import type {MemberTable} from '../../membership/common/member-table.js';
import type {EngineView} from '../../placement/common/order-planner.js';
import type {OrderFleet} from '../../placement/common/placement-service.js';
import type {OrderMessage} from '../../wire/common/messages.js';
import type {FleetRouter} from '../common/fleet-router.js';
import type {FleetLinks} from './fleet-links.js';

/** Lists engines and sends orders over the links of this entry. */
export class LinkedOrderFleet implements OrderFleet {
	static create(links: FleetLinks, members: MemberTable, router: FleetRouter, clock: Clock): LinkedOrderFleet {
		return new LinkedOrderFleet(links, members, router, clock);
	}

	private constructor(
		private readonly links: FleetLinks,
		private readonly members: MemberTable,
		private readonly router: FleetRouter,
		private readonly clock: Clock,
	) {}

	engines(pool: string): EngineView[] {
		return this.members.candidates(pool, this.clock.nowMs()).flatMap(({upstreamId}) => {
			const load = this.router.statsOf(upstreamId)?.load;
			// An engine that has not reported yet gets no orders, because it is not known which models it has loaded.
			return load ? [{upstreamId, models: load.models}] : [];
		});
	}

	send(upstreamId: string, order: OrderMessage): boolean {
		return this.links.send(upstreamId, order);
	}
}
