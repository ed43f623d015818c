/**
Guards against urgent requests being refused as often as other requests in a pool in which all engines announce limits: 10 of 16
urgent requests were refused while there were ten times as many others. Here the urgent requests amount to half of what the limits
allow and the others to five times what the limits allow; callers arrive at random on any host. Covers 3 hosts and 3 upstreams that
announce 2 requests a second each, 5 hosts and 13 upstreams that announce 1, and 31 hosts and 39 upstreams that announce 1.
*/
import t from 'tap';
import {SeededRandom, type Random} from '../../base/common/random.js';
import {SendBounds} from '../../routing/common/send-bounds.js';
import {SendShare} from '../../routing/common/send-share.js';
import {BoundedAdmission} from './bounded-admission.js';
import {PoolAvailability} from './pool-availability.js';

type Fleet = {readonly hostCount: number; readonly serverCount: number; readonly limitPerS: number};

const pool = 'p';
const stepMs = 5;
const simulatedMs = 60_000;
const anyWork = {isSoleSender: false};
const ranks = {urgent: 0, other: 2} as const;

function makeHosts({hostCount, serverCount, limitPerS}: Fleet) {
	const hosts = Array.from({length: hostCount}, (_, index) => `h${index}`);
	const servers = Array.from({length: serverCount}, (_, index) => ({
		serverId: `s${index}`, instanceId: `s${index}`, startedMs: 0, pool, address: '127.0.0.1', port: 1, hall: 'a', slots: 1, isLeaving: false,
	}));
	return hosts.map(own => {
		const bounds = SendBounds.create({
			registry: {remainingColdMs: () => 0, acceptsNewWork: () => true, onDidChange: () => ({dispose: () => undefined})},
			limits: {limitOf: () => ({perS: limitPerS, sinceAnnouncedMs: 0}), forget: () => undefined},
			backoffs: {remainingMs: () => 0, forget: () => undefined},
			share: SendShare.create(() => ({
				ownName: own, hosts, isSettled: true, unseenSeedCount: 0,
			})),
			cold: undefined,
			toleratedPerS: () => 0,
		});
		const admission = BoundedAdmission.create(PoolAvailability.create({registry: {usable: () => servers, isPoolClosed: () => false}, bounds}));
		return {
			/** Admits a request and sends it immediately; returns whether it was sent. */
			trySend(rank: number, nowMs: number): boolean {
				const isAdmitted = admission.admit(pool, rank, nowMs) === undefined;
				const server = isAdmitted ? servers.find(each => bounds.maySend(each, anyWork, nowMs)) : undefined;
				if (server) {
					bounds.sent(server, nowMs);
				}

				return server !== undefined;
			},
		};
	});
}

/** Simulates callers that arrive at the given rates. Returns the share of each kind that is admitted, and the used share of what the limits allow. */
function simulate(fleet: Fleet, random: Random, urgentShare: number, otherShare: number) {
	const hosts = makeHosts(fleet);
	const allowedPerS = fleet.serverCount * fleet.limitPerS;
	const kinds = [
		{
			rank: ranks.urgent, perMs: allowedPerS * urgentShare / 1000, asked: 0, taken: 0,
		},
		{
			rank: ranks.other, perMs: allowedPerS * otherShare / 1000, asked: 0, taken: 0,
		},
	];
	for (let nowMs = 0; nowMs < simulatedMs; nowMs += stepMs) {
		for (const kind of kinds) {
			// Several may arrive in one step.
			for (let chance = kind.perMs * stepMs; chance > 0; chance--) {
				if (random.next() < chance) {
					kind.asked++;
					kind.taken += hosts[random.int(hosts.length)].trySend(kind.rank, nowMs) ? 1 : 0;
				}
			}
		}
	}

	const [urgent, other] = kinds;
	return {
		urgent: urgent.taken / urgent.asked, other: other.taken / other.asked, used: (urgent.taken + other.taken) * 1000 / (allowedPerS * simulatedMs),
	};
}

t.test('a pool at its limits takes urgent requests first, and is used', async t => {
	for (const fleet of [{hostCount: 3, serverCount: 3, limitPerS: 2}, {hostCount: 5, serverCount: 13, limitPerS: 1}, {hostCount: 31, serverCount: 39, limitPerS: 1}]) {
		for (const seed of [1, 2, 3]) {
			const {urgent, other, used} = simulate(fleet, SeededRandom.create(seed), 0.5, 5);
			const name = `${fleet.hostCount} hosts, seed ${seed}: urgent ${urgent.toFixed(2)}, other ${other.toFixed(2)}, used ${used.toFixed(2)}`;
			t.ok(urgent >= 0.9, name);
			t.ok(used >= 0.75, name);
		}
	}
});
