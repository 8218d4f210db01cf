import type {Address} from './address.js';

/** How an upstream treats the epoch and lapse time of a grant. */
export type Fencing = 'enforced' | 'ignored';

/**
 * Identifies one lease of one instance. The generation grows by one each time
 * the instance registers, so of two leases of an instance the one with the
 * lower generation has ended once the higher one is recorded.
 */
export interface LeaseId {
  readonly instance: string;
  readonly generation: number;
}

/** One process that promises to observe the renewals of a lease. */
export interface Witness {
  readonly instance: string;
  /** Generation of the witness when it was chosen. */
  readonly generation: number;
  /** Random identifier of the start of the witness's process. */
  readonly process: string;
  readonly address: Address;
  readonly domain: string;
}

/** A numbered set of witnesses; the number grows with each replacement. */
export interface WitnessSet {
  readonly number: number;
  readonly witnesses: readonly Witness[];
}

/**
 * Life of a registration. `ended` is final for its generation: the holder
 * wrote it when it shut down, or another instance wrote it with proof that the
 * lease can never be renewed again.
 */
export type MemberState = 'serving' | 'draining' | 'ended';

/** The registration record of one instance, as kept on the platform. */
export interface Member {
  readonly instance: string;
  readonly generation: number;
  /** Random identifier of the start of the daemon's process. */
  readonly process: string;
  readonly state: MemberState;
  /** Set with `ended` when the process itself is known to have ended. */
  readonly processEnded?: boolean;
  readonly service: string;
  readonly site: string;
  readonly region: string;
  readonly domain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly control: Address;
  /** Requests that the upstream executes at a time. */
  readonly slots: number;
  /** Connections that the upstream accepts. */
  readonly connections: number;
  readonly witnesses: WitnessSet;
}

/**
 * Returns the lease that a registration record holds.
 *
 * @example
 * leaseOf({...member, instance: 'a', generation: 3}); // {instance: 'a', generation: 3}
 */
export function leaseOf(member: Member): LeaseId {
  return {instance: member.instance, generation: member.generation};
}

/**
 * Formats a lease as `instance#generation`, usable as a map key.
 *
 * @example
 * formatLease({instance: 'a', generation: 3}); // 'a#3'
 */
export function formatLease(lease: LeaseId): string {
  return `${lease.instance}#${lease.generation}`;
}

/**
 * Tells whether two lease identifiers are equal.
 *
 * @example
 * sameLease({instance: 'a', generation: 1}, {instance: 'a', generation: 2}); // false
 */
export function sameLease(a: LeaseId, b: LeaseId): boolean {
  return a.generation === b.generation && a.instance === b.instance;
}
