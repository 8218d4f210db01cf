import {
  formatLease,
  hashText,
  leaseOf,
  type LeaseId,
  type Member,
} from '../model/index.js';

/** A member that may hold new terms, with what ranking it needs. */
export interface Candidate {
  readonly member: Member;
  /** Hash of the instance's name. */
  readonly hash: number;
  /** The failure domain, distinct across regions. */
  readonly domain: string;
}

/** Members that may hold new terms, with look-ups. */
export interface Pool {
  readonly candidates: readonly Candidate[];
  readonly byInstance: ReadonlyMap<string, Candidate>;
  readonly byLease: ReadonlyMap<string, Candidate>;
}

/**
 * Prepares members for many choices among them.
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
 * Finds the members that hold some leases, in the order of the leases. Leases
 * of no member of the pool are left out.
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
 * Identifies a member's failure domain across regions.
 *
 * @example
 * domainOf({...member, region: 'north', domain: 'd1'}); // 'north/d1'
 */
export function domainOf(member: Member): string {
  return `${member.region}/${member.domain}`;
}
