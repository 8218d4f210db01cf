import type {Address} from './address.js';

/** Whether an upstream enforces the epoch and expiry time of its grants. */
export type Fencing = 'enforced' | 'ignored';

/**
 * Identifies one lease of an instance. Each registration of the instance
 * increments the generation, so recording a higher generation ends the leases
 * with lower ones.
 */
export interface LeaseId {
  readonly instance: string;
  readonly generation: number;
}

/** A process that acknowledges the renewals of a lease. */
export interface Witness {
  readonly instance: string;
  /** Generation of the witness at the time it was chosen. */
  readonly generation: number;
  /** Random identifier that the witness process generated at its start. */
  readonly process: string;
  readonly address: Address;
  readonly domain: string;
}

/** A numbered set of witnesses. Each replacement increments the number. */
export interface WitnessSet {
  readonly number: number;
  readonly witnesses: readonly Witness[];
}

/**
 * State of a registration. `ended` is final for its generation: it is written
 * by the holder at shutdown, or by another instance that has proof that the
 * lease can never be renewed again.
 */
export type MemberState = 'serving' | 'draining' | 'ended';

/** The registration record of an instance, as stored on the platform. */
export interface Member {
  readonly instance: string;
  readonly generation: number;
  /** Random identifier that the daemon process generated at its start. */
  readonly process: string;
  readonly state: MemberState;
  /** Set together with `ended` if the process itself is known to have ended. */
  readonly processEnded?: boolean;
  readonly service: string;
  readonly site: string;
  readonly region: string;
  readonly domain: string;
  readonly callers: Address;
  readonly peers: Address;
  readonly control: Address;
  /** Number of requests that the upstream executes concurrently. */
  readonly slots: number;
  /** Number of connections that the upstream accepts. */
  readonly connections: number;
  readonly witnesses: WitnessSet;
}

/**
 * Returns the lease of a registration record.
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
 * Returns whether two lease identifiers are equal.
 *
 * @example
 * sameLease({instance: 'a', generation: 1}, {instance: 'a', generation: 2}); // false
 */
export function sameLease(a: LeaseId, b: LeaseId): boolean {
  return a.generation === b.generation && a.instance === b.instance;
}
