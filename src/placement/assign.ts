import {hashText, type Member} from '../model/index.js';
import {compareNames, rendezvousScore} from './rank.js';

/** Number of points of each member on the ring. */
const POINTS_PER_MEMBER = 8;

/** Hash seed of the positions of slices on the ring. */
const POSITION_SEED = hashText('position');

/** Points of the members on the hash ring, in ascending order of position. */
interface Ring {
  readonly positions: Uint32Array;
  /** Member index of each point. */
  readonly owners: Uint32Array;
}

/**
 * Assigns every slice of a service to a member by consistent hashing with
 * bounded loads: a slice goes to the next member on the ring that has not
 * reached its quota, which is proportional to its slots and rounded up. The
 * result depends only on the set of members, and adding or removing a member
 * changes little of it.
 *
 * @returns The owner of each slice, by slice number.
 * @throws {RangeError} when the members have no slots.
 *
 * @example
 * assignOwners(64, members)[7].instance; // the same at every daemon
 */
export function assignOwners(
  slices: number,
  members: readonly Member[],
): readonly Member[] {
  const sorted = members.toSorted((a, b) =>
    compareNames(a.instance, b.instance),
  );
  const quotas = quotasOf(slices, sorted);
  const ring = ringOf(sorted);
  return Array.from({length: slices}, (_, slice) => {
    const index = nextWithQuota(
      ring,
      quotas,
      rendezvousScore(slice, POSITION_SEED),
    );
    quotas[index]--;
    return sorted[index];
  });
}

/** Returns the quota of each member: its share of the slices by slots. */
function quotasOf(slices: number, members: readonly Member[]): Int32Array {
  const slots = members.reduce((sum, m) => sum + m.slots, 0);
  if (slots <= 0)
    throw new RangeError('expected at least one member with slots, got none');
  return Int32Array.from(members, m => Math.ceil((slices * m.slots) / slots));
}

/** Creates the hash ring of the members. */
function ringOf(members: readonly Member[]): Ring {
  const points = members.flatMap((m, member) => {
    const hash = hashText(m.instance);
    return Array.from({length: POINTS_PER_MEMBER}, (_, i) => ({
      position: rendezvousScore(i, hash),
      member,
    }));
  });
  points.sort((a, b) => a.position - b.position || a.member - b.member);
  return {
    positions: Uint32Array.from(points, p => p.position),
    owners: Uint32Array.from(points, p => p.member),
  };
}

/** Finds the next member on the ring that has not reached its quota. */
function nextWithQuota(
  ring: Ring,
  quotas: Int32Array,
  position: number,
): number {
  let at = firstPointFrom(ring, position);
  while (quotas[ring.owners[at]] <= 0) at = (at + 1) % ring.owners.length;
  return ring.owners[at];
}

/** Finds the first point at or after a position, wrapping around the ring. */
function firstPointFrom(ring: Ring, position: number): number {
  let low = 0;
  let high = ring.positions.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (ring.positions[middle] < position) low = middle + 1;
    else high = middle;
  }
  return low % ring.positions.length;
}
