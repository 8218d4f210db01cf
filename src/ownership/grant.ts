import type {SliceEpoch} from './messages.js';

/** State of the grants that a daemon sends to its upstream. */
export interface GrantState {
  readonly sequence: number;
  /** Entries of the most recently sent grant, by slice and epoch. */
  readonly sent: ReadonlyMap<string, SliceEpoch>;
  readonly sentAt: number;
  /** Expiry of the most recently sent grant, by the daemon's clock. */
  readonly sentUntil: number;
  readonly isAwaitingAnswer: boolean;
  /** Entries of the most recent grant that the upstream confirmed. */
  readonly confirmed: ReadonlyMap<string, SliceEpoch>;
  /** Expiry of the confirmed grant, by the daemon's clock. */
  readonly confirmedUntil: number;
  /**
   * Latest time at which a sent grant may still be in force at the upstream.
   */
  readonly latestUntil: number;
  /**
   * Latest value of the upstream's clock, and when the response with it
   * arrived.
   */
  readonly clockReading?: {readonly clock: number; readonly arrivedAt: number};
}

/** A grant to be sent to the upstream. */
export interface GrantRequest {
  readonly sequence: number;
  /** Expiry by the upstream's clock, in milliseconds. */
  readonly until: number;
  readonly slices: readonly SliceEpoch[];
}

/**
 * Creates the state before the first grant.
 *
 * @example
 * newGrantState().sequence; // 0
 */
export function newGrantState(): GrantState {
  return {
    sequence: 0,
    sent: new Map(),
    sentAt: -Infinity,
    sentUntil: 0,
    isAwaitingAnswer: false,
    confirmed: new Map(),
    confirmedUntil: 0,
    latestUntil: 0,
  };
}

/**
 * Returns the map key of an entry of a grant.
 *
 * @example
 * grantKey({service: 'rota', slice: 3, epoch: 9}); // 'rota/3@9'
 */
export function grantKey(entry: SliceEpoch): string {
  return `${entry.service}/${entry.slice}@${entry.epoch}`;
}

/**
 * Prepares the next grant. Its expiry is expressed in the upstream's clock: the
 * latest clock reading plus the time that remained of the lease when the
 * reading arrived. A grant that arrives late therefore does not outlast the
 * lease.
 *
 * @param leaseUntil Expiry of the lease by the daemon's clock, in milliseconds.
 * @param driftShare Maximum difference between the rates of the two clocks.
 *
 * @example
 * const {grant, request} = prepareGrant(before, entries, leaseUntil, 0.02, now);
 */
export function prepareGrant(
  grant: GrantState,
  entries: readonly SliceEpoch[],
  leaseUntil: number,
  driftShare: number,
  now: number,
): {readonly grant: GrantState; readonly request: GrantRequest} {
  const {clockReading} = grant;
  const remainingMs = clockReading
    ? Math.max(0, leaseUntil - clockReading.arrivedAt)
    : 0;
  const slices = clockReading ? entries : [];
  const until = clockReading
    ? clockReading.clock + remainingMs * (1 - driftShare)
    : 0;
  const sequence = grant.sequence + 1;
  const sentUntil = slices.length > 0 ? leaseUntil : 0;
  const next = {
    ...grant,
    sequence,
    sent: new Map(slices.map(entry => [grantKey(entry), entry])),
    sentAt: now,
    sentUntil,
    isAwaitingAnswer: true,
    latestUntil: Math.max(grant.latestUntil, sentUntil),
  };
  return {grant: next, request: {sequence, until, slices}};
}

/**
 * Applies the upstream's confirmation of the most recent grant. Confirmations
 * of earlier grants are ignored.
 *
 * @param clock The upstream's clock when it answered, in milliseconds.
 *
 * @example
 * const grant = confirmGrant(before, request.sequence, clock, now);
 */
export function confirmGrant(
  grant: GrantState,
  sequence: number,
  clock: number,
  now: number,
): GrantState {
  if (sequence !== grant.sequence) return grant;
  return {
    ...grant,
    isAwaitingAnswer: false,
    confirmed: grant.sent,
    confirmedUntil: grant.sentUntil,
    latestUntil: grant.sentUntil,
    clockReading: {clock, arrivedAt: now},
  };
}

/**
 * Applies the failure of the most recent grant, which may still have reached
 * the upstream.
 *
 * @example
 * failGrant(before, request.sequence).isAwaitingAnswer; // false
 */
export function failGrant(grant: GrantState, sequence: number): GrantState {
  if (sequence !== grant.sequence) return grant;
  return {...grant, isAwaitingAnswer: false};
}
