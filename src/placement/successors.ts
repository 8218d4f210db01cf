import type {Member} from '../model/index.js';
import {rankForSlice} from './rank.js';

/** What a choice of standing successors depends on. */
export interface SuccessorChoice {
  readonly slice: number;
  readonly owner: Member;
  /** Members to keep where they fit equally well, the first one first. */
  readonly preferred: readonly Member[];
  /** Members that may be chosen; preferred ones outside it are ignored. */
  readonly candidates: readonly Member[];
  /** Number of successors wanted. */
  readonly count: number;
}

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
 * chooseSuccessors({slice: 7, owner, preferred: [], candidates, count: 2});
 */
export function chooseSuccessors(choice: SuccessorChoice): readonly Member[] {
  if (choice.count < 0) throw new RangeError('negative number of successors');
  const {owner, count} = choice;
  const pool = orderedPool(choice);
  const chosen: Member[] = [];
  const domains = new Set([domainOf(owner)]);
  const take = (fits: (member: Member) => boolean) => {
    for (const member of pool) {
      if (chosen.length >= count) return;
      if (chosen.includes(member) || !fits(member)) continue;
      chosen.push(member);
      domains.add(domainOf(member));
    }
  };
  const near = (member: Member) => member.region === owner.region;
  const apart = (member: Member) => !domains.has(domainOf(member));
  take(member => near(member) && apart(member));
  take(apart);
  take(near);
  take(() => true);
  return chosen;
}

function orderedPool(choice: SuccessorChoice): readonly Member[] {
  const {slice, owner, preferred, candidates} = choice;
  const others = candidates.filter(m => m.instance !== owner.instance);
  const kept = preferred.flatMap(
    wanted => others.find(m => m.instance === wanted.instance) ?? [],
  );
  const rest = others.filter(m => !kept.includes(m));
  return [...kept, ...rankForSlice(slice, rest)];
}

/** Identifies a failure domain across regions. */
function domainOf(member: Member): string {
  return `${member.region}/${member.domain}`;
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

function protection(
  owner: Member,
  successors: readonly Member[],
): readonly number[] {
  const domains = new Set([owner, ...successors].map(domainOf));
  const near = successors.filter(m => m.region === owner.region);
  return [successors.length, domains.size, near.length];
}
