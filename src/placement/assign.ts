import {hashText, type Member} from '../model/index.js';
import {compareNames, rendezvousScore} from './rank.js';

/** Points that each member has on the ring. */
const POINTS_PER_MEMBER = 8;

/** Seed of the slices' positions on the ring. */
const POSITION_SEED = hashText('position');

/** Points of the members in ascending order of position. */
interface Ring {
  readonly positions: Uint32Array;
  /** Index of the member of each point. */
  readonly owners: Uint32Array;
}

/**
 * Assigns every slice of a service to a member by consistent hashing with
 * bounded loads: a slice goes to the next member on the ring that has less
 * than its share of the slices by slots, rounded up. The result depends only
 * on the set of members, and a member more or less changes little of it.
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

function quotasOf(slices: number, members: readonly Member[]): Int32Array {
  const slots = members.reduce((sum, m) => sum + m.slots, 0);
  if (slots <= 0) throw new RangeError('no member with slots');
  return Int32Array.from(members, m => Math.ceil((slices * m.slots) / slots));
}

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

function nextWithQuota(
  ring: Ring,
  quotas: Int32Array,
  position: number,
): number {
  let at = firstPointFrom(ring, position);
  while (quotas[ring.owners[at]] <= 0) at = (at + 1) % ring.owners.length;
  return ring.owners[at];
}

/** Finds the first point at or after a position, around the ring. */
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
