import type {Member} from '../model/index.js';
import {domainOf, type Candidate, type Pool} from './pool.js';
import {compareNames, rendezvousScore} from './rank.js';

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
type CandidateFilter = (candidate: Candidate) => boolean;

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
  const isAvailable: CandidateFilter = c =>
    c.member.instance !== owner.instance && !chosen.includes(c);
  const isSameRegion: CandidateFilter = c => c.member.region === owner.region;
  const isUnusedDomain: CandidateFilter = c => !used.has(c.domain);
  const filters: readonly CandidateFilter[] = [
    c => isSameRegion(c) && isUnusedDomain(c) && isAvailable(c),
    c => isUnusedDomain(c) && isAvailable(c),
    c => isSameRegion(c) && isAvailable(c),
    isAvailable,
  ];
  for (const filter of filters) {
    while (chosen.length < count) {
      const next = bestOf(choice, filter);
      if (!next) break;
      chosen.push(next);
      used.add(next.domain);
    }
  }
  return chosen.map(c => c.member);
}

function bestOf(
  choice: SuccessorChoice,
  filter: CandidateFilter,
): Candidate | undefined {
  const {slice, pool} = choice;
  for (const {instance} of choice.preferred) {
    const known = pool.byInstance.get(instance);
    if (known && filter(known)) return known;
  }
  let best: Candidate | undefined;
  for (const candidate of pool.candidates) {
    if (!filter(candidate)) continue;
    if (!best || ranksBefore(slice, candidate, best)) best = candidate;
  }
  return best;
}

function ranksBefore(slice: number, a: Candidate, b: Candidate): boolean {
  const difference =
    rendezvousScore(slice, a.hash) - rendezvousScore(slice, b.hash);
  if (difference !== 0) return difference > 0;
  return compareNames(a.member.instance, b.member.instance) < 0;
}

/**
 * Tells whether no choice of successors could protect the owner better.
 *
 * @example
 * fullyProtected(owner, [memberOfOtherDomain], 1); // true
 */
export function isFullyProtected(
  owner: Member,
  successors: readonly Member[],
  count: number,
): boolean {
  const [chosen, domains, near] = protectionOf(owner, successors);
  return chosen >= count && domains === chosen + 1 && near === chosen;
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
  const left = protectionOf(owner, a);
  const right = protectionOf(owner, b);
  const differing = left.findIndex((value, i) => value !== right[i]);
  return differing >= 0 && left[differing] > right[differing];
}

/** Number of successors, of failure domains, and of successors near. */
function protectionOf(
  owner: Member,
  successors: readonly Member[],
): readonly number[] {
  const domains = new Set([owner, ...successors].map(domainOf));
  const near = successors.filter(m => m.region === owner.region);
  return [successors.length, domains.size, near.length];
}
