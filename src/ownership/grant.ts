import type {SliceEpoch} from './messages.js';

/** What the daemon and its upstream have agreed on, as the daemon knows it. */
export interface GrantState {
  readonly sequence: number;
  /** Entries of the latest grant sent, by slice and epoch. */
  readonly sent: ReadonlyMap<string, SliceEpoch>;
  readonly sentAt: number;
  /** End of the latest grant sent, by the daemon's clock. */
  readonly sentUntil: number;
  readonly isAwaitingAnswer: boolean;
  /** Entries of the latest grant that the upstream confirmed. */
  readonly confirmed: ReadonlyMap<string, SliceEpoch>;
  /** End of the confirmed grant, by the daemon's clock. */
  readonly confirmedUntil: number;
  /** Latest end that any grant sent may still have at the upstream. */
  readonly latestUntil: number;
  /** Last reading of the upstream's clock and when its answer arrived. */
  readonly clockReading?: {readonly clock: number; readonly arrivedAt: number};
}

/** A grant to send to the upstream. */
export interface GrantRequest {
  readonly sequence: number;
  /** End in the upstream's clock, in milliseconds. */
  readonly until: number;
  readonly slices: readonly SliceEpoch[];
}

/**
 * Returns the state before the first grant.
 *
 * @example
 * newGrant().sequence; // 0
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
 * Returns the key of an entry of a grant.
 *
 * @example
 * grantKey({service: 'rota', slice: 3, epoch: 9}); // 'rota/3@9'
 */
export function grantKey(entry: SliceEpoch): string {
  return `${entry.service}/${entry.slice}@${entry.epoch}`;
}

/**
 * Prepares the next grant. Its end is expressed in the upstream's own clock:
 * the last reading plus what was left of the lease when the reading arrived, so
 * that a grant that arrives late does not outlast the lease.
 *
 * @param leaseUntil End of the lease by the daemon's clock, in milliseconds.
 * @param driftShare Bound on the difference between the rates of the clocks.
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
  const {clockReading: clockReading} = grant;
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
 * Applies the upstream's confirmation of the latest grant.
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
 * Applies the failure of the latest grant, which may have reached the upstream.
 *
 * @example
 * failGrant(before, request.sequence).waiting; // false
 */
export function failGrant(grant: GrantState, sequence: number): GrantState {
  if (sequence !== grant.sequence) return grant;
  return {...grant, isAwaitingAnswer: false};
}
