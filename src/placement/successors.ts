import type {Member} from '../model/index.js';
import {domainOf, type Candidate, type Pool} from './pool.js';
import {order, score} from './rank.js';

/** What a choice of standing successors depends on. */
export interface SuccessorChoice {
  readonly slice: number;
  readonly owner: Member;
  /** Members to keep where they fit equally well, the first one first. */
  readonly preferred: readonly Member[];
  /** Members that may be chosen; preferred ones outside it are ignored. */
  readonly pool: Pool;
  /** Number of successors wanted. */
  readonly count: number;
}

/** Tells whether a candidate belongs to a group. */
type Group = (candidate: Candidate) => boolean;

/**
 * Chooses the standing successors of an owner, in order. A member of the
 * owner's region in a failure domain that the chain has not used comes first,
 * then one of another region in an unused domain, then any other of the
 * owner's region, then the rest. Within each of these groups preferred
 * members come first, and others by rendezvous hashing.
 *
 * @throws {RangeError} when the count is negative.
 *
 * @example
 * chooseSuccessors({slice: 7, owner, preferred: [], pool, count: 2});
 */
export function chooseSuccessors(choice: SuccessorChoice): readonly Member[] {
  const {owner, count} = choice;
  if (count < 0) throw new RangeError('negative number of successors');
  const chosen: Candidate[] = [];
  const used = new Set([domainOf(owner)]);
  const free: Group = c =>
    c.member.instance !== owner.instance && !chosen.includes(c);
  const near: Group = c => c.member.region === owner.region;
  const apart: Group = c => !used.has(c.domain);
  const groups: readonly Group[] = [
    c => near(c) && apart(c) && free(c),
    c => apart(c) && free(c),
    c => near(c) && free(c),
    free,
  ];
  for (const group of groups) {
    while (chosen.length < count) {
      const next = bestOf(choice, group);
      if (!next) break;
      chosen.push(next);
      used.add(next.domain);
    }
  }
  return chosen.map(c => c.member);
}

function bestOf(choice: SuccessorChoice, group: Group): Candidate | undefined {
  const {slice, pool} = choice;
  for (const {instance} of choice.preferred) {
    const kept = pool.byInstance.get(instance);
    if (kept && group(kept)) return kept;
  }
  let best: Candidate | undefined;
  for (const candidate of pool.candidates) {
    if (!group(candidate)) continue;
    if (!best || ranksBefore(slice, candidate, best)) best = candidate;
  }
  return best;
}

function ranksBefore(slice: number, a: Candidate, b: Candidate): boolean {
  const difference = score(slice, a.hash) - score(slice, b.hash);
  if (difference !== 0) return difference > 0;
  return order(a.member.instance, b.member.instance) < 0;
}

/**
 * Tells whether no choice of successors could protect the owner better.
 *
 * @example
 * fullyProtected(owner, [memberOfOtherDomain], 1); // true
 */
export function fullyProtected(
  owner: Member,
  successors: readonly Member[],
  count: number,
): boolean {
  const [have, domains, near] = protection(owner, successors);
  return have >= count && domains === have + 1 && near === have;
}

/**
 * Tells whether one choice of successors protects an owner better than
 * another: more of them, or in more failure domains, or more of them near.
 *
 * @example
 * protectsBetter(owner, [memberOfOtherDomain], [memberOfSameDomain]); // true
 */
export function protectsBetter(
  owner: Member,
  a: readonly Member[],
  b: readonly Member[],
): boolean {
  const left = protection(owner, a);
  const right = protection(owner, b);
  const differing = left.findIndex((value, i) => value !== right[i]);
  return differing >= 0 && left[differing] > right[differing];
}

/** Number of successors, of failure domains, and of successors near. */
function protection(
  owner: Member,
  successors: readonly Member[],
): readonly number[] {
  const domains = new Set([owner, ...successors].map(domainOf));
  const near = successors.filter(m => m.region === owner.region);
  return [successors.length, domains.size, near.length];
}
