import {isSameIncarnation, orderOf, type Incarnation} from '../ranges/index.js';
import {MAX_MISSED_HEARTBEATS} from './heartbeat.js';

/**
 * Heartbeats that an instance has sent while another one at the same daemon,
 * which started later by the clock, was not heard.
 */
export interface Claim {
  readonly life: Incarnation;
  /** Arrival of the first and the last of these heartbeats. */
  readonly since: number;
  readonly lastAt: number;
  /** Sequence number of the last one. */
  readonly sequence: number;
  readonly heartbeats: number;
}

/** What is known of the instances that a claim is made against. */
export interface Predecessors {
  /** Time of their last heartbeat or answer, in milliseconds. */
  readonly lastHeardAt: number;
  /** Time by which they hold no keys any more, in milliseconds. */
  readonly leaseEndsAt: number;
}

/** Heartbeats that prove a claim; one or two may be repeated ones. */
const MIN_HEARTBEATS = 3;

/** Heartbeat intervals in which a claim's heartbeats arrive at least. */
const MIN_SPAN_HEARTBEATS = 2;

/** Heartbeat intervals without a heartbeat after which a claim begins anew. */
const MAX_GAP_HEARTBEATS = 4;

/** Largest number of claims that are kept; the oldest is dropped first. */
const MAX_CLAIMS = 8;

/**
 * Returns a life with the latest position under which it is known.
 *
 * @param known Lives at the same daemon that are registered, run or hold keys.
 *
 * @example
 * withKnownOrder({node: 'a', id: 'i', born: 1}, [{node: 'a', id: 'i', born: 1, order: 8}]);
 */
export function withKnownOrder(
  life: Incarnation,
  known: readonly Incarnation[],
): Incarnation {
  return known
    .filter(other => isSameIncarnation(other, life))
    .reduce((a, b) => (orderOf(b) > orderOf(a) ? b : a), life);
}

/**
 * Returns the known life with the latest position if that is later than the
 * position of a life.
 *
 * @example
 * findLater({node: 'a', id: 'i', born: 1}, [{node: 'a', id: 'j', born: 2}])?.id; // 'j'
 */
export function findLater(
  life: Incarnation,
  known: readonly Incarnation[],
): Incarnation | undefined {
  let latest = life;
  for (const other of known) {
    if (orderOf(other) > orderOf(latest)) latest = other;
  }
  return isSameIncarnation(latest, life) ? undefined : latest;
}

/**
 * Records a heartbeat of a life that is not the latest known one. Heartbeats
 * that came before a sign of life of a predecessor count for nothing, nor do
 * those that are out of sequence.
 *
 * @param heartbeatMs Interval of heartbeats.
 *
 * @example
 * const claims = recordClaim([], life, 1, now, lastHeardAt, 800);
 */
export function recordClaim(
  claims: readonly Claim[],
  life: Incarnation,
  sequence: number,
  now: number,
  lastHeardAt: number,
  heartbeatMs: number,
): readonly Claim[] {
  const known = findClaim(claims, life);
  const isContinued =
    known !== undefined &&
    known.since > lastHeardAt &&
    !isInterrupted(known, now, heartbeatMs);
  if (isContinued && sequence <= known.sequence) return claims;
  const {since, heartbeats} = isContinued ? known : {since: now, heartbeats: 0};
  const others = claims.filter(claim => claim !== known);
  const claim = {
    life,
    since,
    lastAt: now,
    sequence,
    heartbeats: heartbeats + 1,
  };
  return [...others, claim].slice(-MAX_CLAIMS);
}

/**
 * Returns the claim of a life.
 *
 * @example
 * findClaim(claims, life)?.heartbeats;
 */
export function findClaim(
  claims: readonly Claim[],
  life: Incarnation,
): Claim | undefined {
  return claims.find(claim => isSameIncarnation(claim.life, life));
}

function isInterrupted({lastAt}: Claim, now: number, heartbeatMs: number) {
  return now - lastAt > heartbeatMs * MAX_GAP_HEARTBEATS;
}

/**
 * Returns whether a claim is more than a single heartbeat and still goes on.
 *
 * @example
 * if (claims.some(claim => isOngoing(claim, now, 800))) pause();
 */
export function isOngoing(
  claim: Claim,
  now: number,
  heartbeatMs: number,
): boolean {
  return claim.heartbeats > 1 && !isInterrupted(claim, now, heartbeatMs);
}

/**
 * Returns whether a claim proves that its life runs now and its predecessors
 * have ended. If it is wrong after all, no key has two holders: the leases of
 * the predecessors have expired, and one that is heard again has to prove the
 * same.
 *
 * @example
 * if (isProved(claim, {lastHeardAt, leaseEndsAt}, now, 800)) accept(life);
 */
export function isProved(
  {since, heartbeats}: Claim,
  {lastHeardAt, leaseEndsAt}: Predecessors,
  now: number,
  heartbeatMs: number,
): boolean {
  return (
    heartbeats >= MIN_HEARTBEATS &&
    now - since >= heartbeatMs * MIN_SPAN_HEARTBEATS &&
    now - lastHeardAt > heartbeatMs * MAX_MISSED_HEARTBEATS &&
    now >= leaseEndsAt
  );
}
