import {
  formatLease,
  hashText,
  leaseOf,
  type LeaseId,
  type Member,
} from '../model/index.js';

/** A member that may hold new terms, with the values that ranking uses. */
export interface Candidate {
  readonly member: Member;
  /** Hash of the instance's name. */
  readonly hash: number;
  /** Failure domain, qualified by its region. */
  readonly domain: string;
}

/** Members that may hold new terms, indexed by instance and by lease. */
export interface Pool {
  readonly candidates: readonly Candidate[];
  readonly byInstance: ReadonlyMap<string, Candidate>;
  readonly byLease: ReadonlyMap<string, Candidate>;
}

/**
 * Creates a pool of members, computing their hashes and indexes once.
 *
 * @example
 * const pool = poolOf(members.filter(m => m.state === 'serving'));
 */
export function poolOf(members: readonly Member[]): Pool {
  const candidates = members.map(member => ({
    member,
    hash: hashText(member.instance),
    domain: domainOf(member),
  }));
  return {
    candidates,
    byInstance: new Map(candidates.map(c => [c.member.instance, c])),
    byLease: new Map(candidates.map(c => [formatLease(leaseOf(c.member)), c])),
  };
}

/**
 * Finds the members that hold the given leases, in the order of the leases.
 * Leases of members outside the pool are skipped.
 *
 * @example
 * holdersIn(pool, [lease])[0]; // the member, or undefined
 */
export function holdersIn(
  pool: Pool,
  leases: readonly LeaseId[],
): readonly Member[] {
  return leases.flatMap(
    lease => pool.byLease.get(formatLease(lease))?.member ?? [],
  );
}

/**
 * Returns the failure domain of a member, qualified by its region.
 *
 * @example
 * domainOf({...member, region: 'north', domain: 'd1'}); // 'north/d1'
 */
export function domainOf(member: Member): string {
  return `${member.region}/${member.domain}`;
}
