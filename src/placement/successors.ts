import type {Member} from '../model/index.js';
import {domainOf, type Candidate, type Pool} from './pool.js';
import {compareNames, rendezvousScore} from './rank.js';

/** Input of the choice of standby successors. */
export interface SuccessorChoice {
  readonly slice: number;
  readonly owner: Member;
  /** Members preferred among equally suitable ones, in order of preference. */
  readonly preferred: readonly Member[];
  /** Members that may be chosen; preferred members outside it are ignored. */
  readonly pool: Pool;
  /** Required number of successors. */
  readonly count: number;
}

/** Returns whether a candidate may be chosen. */
type CandidateFilter = (candidate: Candidate) => boolean;

/**
 * Chooses the standby successors of an owner, in order. Members of the owner's
 * region in an unused failure domain come first, then members of other regions
 * in an unused failure domain, then the other members of the owner's region,
 * then the rest. Within each group, preferred members come first and the others
 * follow in order of rendezvous hashing.
 *
 * @throws {RangeError} when the count is negative.
 *
 * @example
 * chooseSuccessors({slice: 7, owner, preferred: [], pool, count: 2});
 */
export function chooseSuccessors(choice: SuccessorChoice): readonly Member[] {
  const {owner, count} = choice;
  if (count < 0)
    throw new RangeError(
      'expected a number of successors of at least 0, got a negative one',
    );
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

/**
 * Chooses the first preferred candidate that passes a filter, else the best
 * one.
 */
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

/** Orders candidates by rendezvous score, then by name. */
function ranksBefore(slice: number, a: Candidate, b: Candidate): boolean {
  const difference =
    rendezvousScore(slice, a.hash) - rendezvousScore(slice, b.hash);
  if (difference !== 0) return difference > 0;
  return compareNames(a.member.instance, b.member.instance) < 0;
}

/**
 * Returns whether the successors are as many as required, each in a failure
 * domain of its own and all in the owner's region, so that no choice protects
 * better.
 *
 * @example
 * isFullyProtected(owner, [memberOfOtherDomain], 1); // true
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
 * Returns whether one choice of successors protects an owner better than
 * another: it has more successors, or else more failure domains, or else more
 * successors in the owner's region.
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

/**
 * Returns the numbers of successors, failure domains and successors in the
 * owner's region.
 */
function protectionOf(
  owner: Member,
  successors: readonly Member[],
): readonly number[] {
  const domains = new Set([owner, ...successors].map(domainOf));
  const near = successors.filter(m => m.region === owner.region);
  return [successors.length, domains.size, near.length];
}
