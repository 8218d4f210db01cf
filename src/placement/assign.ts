import {hashText, type Member} from '../model/index.js';
import {order, score} from './rank.js';

/**
 * Assigns every slice of a service to a member: rendezvous hashing in which no
 * member takes more than its share of the slices by slots, rounded up. The
 * result depends only on the set of members, not on their order.
 *
 * @returns The owner of each slice, by slice number.
 * @throws {RangeError} when there is no member or the members have no slots.
 *
 * @example
 * assignOwners(64, members)[7].instance; // the same at every daemon
 */
export function assignOwners(
  slices: number,
  members: readonly Member[],
): readonly Member[] {
  const sorted = members.toSorted((a, b) => order(a.instance, b.instance));
  const room = roomOf(slices, sorted);
  const hashes = Uint32Array.from(sorted, m => hashText(m.instance));
  const owners: Member[] = [];
  for (let slice = 0; slice < slices; slice++) {
    const best = bestWithRoom(slice, hashes, room);
    room[best]--;
    owners.push(sorted[best]);
  }
  return owners;
}

function roomOf(slices: number, members: readonly Member[]): Int32Array {
  const slots = members.reduce((sum, m) => sum + m.slots, 0);
  if (slots <= 0) throw new RangeError('no member with slots');
  return Int32Array.from(members, m => Math.ceil((slices * m.slots) / slots));
}

function bestWithRoom(
  slice: number,
  hashes: Uint32Array,
  room: Int32Array,
): number {
  let best = -1;
  let bestScore = -1;
  for (let i = 0; i < hashes.length; i++) {
    if (room[i] <= 0) continue;
    const value = score(slice, hashes[i]);
    if (value <= bestScore) continue;
    best = i;
    bestScore = value;
  }
  return best;
}
