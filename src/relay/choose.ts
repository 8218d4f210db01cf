/** What is known of the load of one instance. */
export interface InstanceLoad {
  /** Requests that run or wait there, as last reported. */
  readonly reportedBusy: number;
  readonly slots: number;
  /** Mean time that a request takes there, in milliseconds. */
  readonly meanMs: number;
  /** Time at which its limit allows one more request, in milliseconds. */
  readonly limitedUntil: number;
  /** Time between two requests that its limit allows; 0 without a limit. */
  readonly intervalMs: number;
  /** Requests sent there and not ended yet. */
  readonly inFlight: number;
  /** Requests that were in flight when the report was made. */
  readonly inFlightAtReport: number;
  /** Time of the report, in milliseconds. */
  readonly reportedAt: number;
  /** Moving share of requests that failed there, from 0 to 1. */
  readonly failures: number;
  /** Signs of a loss in a row. */
  readonly failedProbes: number;
  /** No request is sent there before this time, in milliseconds. */
  readonly avoidedUntil: number;
  /** Others are preferred before this time, in milliseconds. */
  readonly suspectedUntil: number;
}

/** The load of an instance of which nothing is known. */
export const UNKNOWN_LOAD: InstanceLoad = {
  reportedBusy: 0,
  slots: 1,
  meanMs: 0,
  limitedUntil: 0,
  intervalMs: 0,
  inFlight: 0,
  inFlightAtReport: 0,
  reportedAt: 0,
  failures: 0,
  failedProbes: 0,
  avoidedUntil: 0,
  suspectedUntil: 0,
};

/** What happened to a request that was sent to an instance. */
export type LoadEvent =
  | {readonly kind: 'sent'}
  | {readonly kind: 'ended'; readonly failed: boolean}
  | {
      readonly kind: 'reported';
      readonly busy: number;
      readonly slots: number;
      readonly meanMs: number;
      readonly limitedMs: number;
      readonly intervalMs: number;
    }
  /** The daemon is lost. */
  | {readonly kind: 'unreachable'}
  /** The daemon answers later than others, or not at all. */
  | {readonly kind: 'suspected'}
  /** A question on a new connection was answered. */
  | {readonly kind: 'reachable'};

const REACHABLE = {failedProbes: 0, avoidedUntil: 0, suspectedUntil: 0};

/** Share of the newest result in the moving share of failures. */
const FAILURE_WEIGHT = 0.1;

/** Time after which a report counts half, in milliseconds. */
const REPORT_HALF_LIFE_MS = 500;

/**
 * Time for which an unreachable instance is passed over; it ends sooner when
 * the daemon beside it answers a question.
 */
const AVOID_MS = 3000;

/** Added to the estimate of an instance at which every request fails. */
const FAILURE_COST_MS = 1500;

/** Added for an instance in another failure domain: its delay and answer. */
const DOMAIN_COST_MS = 20;

/**
 * Added for each kilobyte of a request and its answer that would go between
 * failure domains, as that traffic is charged by volume: a long upload or
 * download leaves its domain only where it would wait for about as long as it
 * takes.
 */
const DOMAIN_COST_MS_PER_KB = 2;

const BYTES_PER_KB = 1024;

/**
 * Applies an event to the load of an instance.
 *
 * @example
 * applyLoadEvent(UNKNOWN_LOAD, {kind: 'sent'}, now).inFlight; // 1
 */
export function applyLoadEvent(
  load: InstanceLoad,
  event: LoadEvent,
  now: number,
): InstanceLoad {
  switch (event.kind) {
    case 'sent':
      return {...load, inFlight: load.inFlight + 1};
    case 'ended': {
      const share = event.failed ? 1 : 0;
      const failures = load.failures + FAILURE_WEIGHT * (share - load.failures);
      return {...load, failures, inFlight: Math.max(0, load.inFlight - 1)};
    }
    case 'reported': {
      const {busy, slots, meanMs, limitedMs, intervalMs} = event;
      return {
        ...load,
        reportedBusy: busy,
        slots,
        meanMs,
        limitedUntil: now + limitedMs,
        intervalMs,
        inFlightAtReport: load.inFlight,
        reportedAt: now,
        ...REACHABLE,
      };
    }
    case 'unreachable': {
      const unreachable = load.failedProbes + 1;
      return {...load, failedProbes: unreachable, avoidedUntil: now + AVOID_MS};
    }
    case 'suspected': {
      const unreachable = load.failedProbes + 1;
      return {
        ...load,
        failedProbes: unreachable,
        suspectedUntil: now + AVOID_MS,
      };
    }
    case 'reachable':
      return {...load, ...REACHABLE};
  }
}

/**
 * Estimates the time that a new request takes at an instance, in milliseconds:
 * what waits there before it, its own work, and what speaks against the
 * instance.
 *
 * @param isSameDomain The instance is in the own failure domain.
 * @param bytes Length of the request's body and of the expected answer.
 *
 * @example
 * estimateMs(load, true, now) < estimateMs(load, false, now); // true
 */
export function estimateMs(
  load: InstanceLoad,
  isSameDomain: boolean,
  now: number,
  bytes = 0,
): number {
  const {slots, meanMs, inFlight, inFlightAtReport} = load;
  const weight = 2 ** ((load.reportedAt - now) / REPORT_HALF_LIFE_MS);
  const othersBusy = Math.max(0, load.reportedBusy - inFlightAtReport) * weight;
  const busy = othersBusy + inFlight;
  const queue = Math.max(0, busy + 1 - slots) / slots;
  const usage = busy / slots;
  const workMs = Math.max(meanMs, 1);
  const failMs = load.failures * FAILURE_COST_MS;
  const kilobytes = bytes / BYTES_PER_KB;
  const farMs = isSameDomain
    ? 0
    : DOMAIN_COST_MS + kilobytes * DOMAIN_COST_MS_PER_KB;
  // Another daemon is taken to have sent one since the report.
  const limitMs = limitDelayMs(load, now) + load.intervalMs;
  return workMs * (1 + queue + USAGE_WEIGHT * usage) + limitMs + failMs + farMs;
}

/**
 * Returns the time until the limit of an instance allows one more request, in
 * milliseconds; what was sent there since it was told comes before.
 *
 * @example
 * untilAllowedMs(UNKNOWN_LOAD, performance.now()); // 0
 */
export function limitDelayMs(load: InstanceLoad, now: number): number {
  const {limitedUntil, intervalMs, inFlight, inFlightAtReport} = load;
  if (intervalMs === 0) return 0;
  const sentSince = Math.max(0, inFlight - inFlightAtReport);
  return Math.max(0, limitedUntil - now) + sentSince * intervalMs;
}

/** Weight of a fuller instance while neither has to queue. */
const USAGE_WEIGHT = 0.3;

/** An instance that a request may be sent to. */
export interface Candidate {
  readonly node: string;
  readonly isSameDomain: boolean;
  readonly load: InstanceLoad;
}

/**
 * Chooses the instance with the lowest estimate among those that are not
 * passed over; if all are, the one whose pause ends first.
 *
 * Answers services without keys, whose instances differ in speed, fill up, name
 * limits and fail one by one.
 *
 * @example
 * chooseInstance(choices, performance.now())?.node;
 */
export function chooseInstance<T extends Candidate>(
  candidates: readonly T[],
  now: number,
  bytes = 0,
): T | undefined {
  let best: T | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const {load, isSameDomain: isSameDomain} = candidate;
    const until = Math.max(load.avoidedUntil, load.suspectedUntil);
    const penaltyMs = Math.max(0, until - now) * AVOID_PENALTY;
    const ms = estimateMs(load, isSameDomain, now, bytes) + penaltyMs;
    if (ms < bestMs) {
      best = candidate;
      bestMs = ms;
    }
  }
  return best;
}

/** Makes any reachable instance preferable to one that is passed over. */
const AVOID_PENALTY = 1000;
