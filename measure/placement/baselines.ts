import {hashText, type Member} from '../../src/model/index.js';
import {rendezvousScore} from '../../src/placement/index.js';
import type {NamedPolicy, Policy, Snapshot} from './policy.js';

/** Points of each member on the ring of consistent hashing. */
const RING_POINTS = 100;

/** Load that bounded loads allows a member, as a multiple of the mean. */
const LOAD_BOUND = 1.25;

/** Seed of the slices' positions on the ring. */
const POSITION_SEED = hashText('slice');

/** A point on the ring. */
interface RingPoint {
  readonly position: number;
  readonly member: Member;
}

/** The textbook policies that placement is compared with. */
export const BASELINES: readonly NamedPolicy[] = [
  {name: 'modulo', create: () => reuseUntilChanged(modulo)},
  {
    name: 'consistent hashing',
    create: () => reuseUntilChanged(consistentHashing),
  },
  {name: 'rendezvous', create: () => reuseUntilChanged(rendezvous)},
  {name: 'bounded loads', create: createBoundedLoads},
];

/** Keeps the placement until a member joins, drains or is lost. */
function reuseUntilChanged(place: Policy): Policy {
  let last: readonly string[] = [];
  return view => {
    if (view.hasChanged || last.length === 0) last = place(view);
    return last;
  };
}

function modulo(view: Snapshot): readonly string[] {
  const members = servingMembers(view);
  return placeSlices(view, slice => members[slice % members.length].instance);
}

function consistentHashing(view: Snapshot): readonly string[] {
  const ring = createRing(servingMembers(view));
  return placeSlices(view, slice => {
    return ring[findPoint(ring, positionOf(slice))].member.instance;
  });
}

function rendezvous(view: Snapshot): readonly string[] {
  const members = servingMembers(view);
  const hashes = members.map(m => hashText(m.instance));
  return placeSlices(view, slice => {
    let best = 0;
    for (let i = 1; i < members.length; i++) {
      if (
        rendezvousScore(slice, hashes[i]) > rendezvousScore(slice, hashes[best])
      )
        best = i;
    }
    return members[best].instance;
  });
}

/** Consistent hashing that passes over members whose load is at the bound. */
function createBoundedLoads(): Policy {
  let ring: readonly RingPoint[] = [];
  return view => {
    if (view.hasChanged || ring.length === 0)
      ring = createRing(servingMembers(view));
    return placeWithBound(view, ring);
  };
}

function placeWithBound(
  view: Snapshot,
  ring: readonly RingPoint[],
): readonly string[] {
  const total = view.loads.reduce((sum, load) => sum + load, 0);
  const slots = servingMembers(view).reduce((sum, m) => sum + m.slots, 0);
  const bound = (LOAD_BOUND * total) / slots;
  const used = new Map<string, number>();
  return placeSlices(view, slice => {
    const load = view.loads[slice];
    const hasRoom = ({member}: RingPoint) =>
      (used.get(member.instance) ?? 0) + load <= bound * member.slots;
    let at = findPoint(ring, positionOf(slice));
    for (let i = 0; i < ring.length && !hasRoom(ring[at]); i++) {
      at = (at + 1) % ring.length;
    }
    const {instance} = ring[at].member;
    used.set(instance, (used.get(instance) ?? 0) + load);
    return instance;
  });
}

function servingMembers(view: Snapshot): readonly Member[] {
  return view.members.filter(m => m.state === 'serving');
}

function placeSlices(
  view: Snapshot,
  place: (slice: number) => string,
): readonly string[] {
  return Array.from({length: view.service.slices}, (_, slice) => place(slice));
}

function createRing(members: readonly Member[]): readonly RingPoint[] {
  const points = members.flatMap(member => {
    const hash = hashText(member.instance);
    return Array.from({length: RING_POINTS}, (_, i) => ({
      position: rendezvousScore(i, hash),
      member,
    }));
  });
  return points.sort((a, b) => a.position - b.position);
}

function findPoint(ring: readonly RingPoint[], position: number): number {
  let low = 0;
  let high = ring.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (ring[middle].position < position) low = middle + 1;
    else high = middle;
  }
  return low % ring.length;
}

function positionOf(slice: number): number {
  return rendezvousScore(slice, POSITION_SEED);
}
