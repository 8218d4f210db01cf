/** Load of one instance, as this daemon knows it. */
export interface InstanceLoad {
  /** Requests that run or wait there, as last reported. */
  readonly reportedBusy: number;
  readonly slots: number;
  /** Mean time that a request takes there, in milliseconds. */
  readonly meanMs: number;
  /** Time at which its rate limit allows one more request, in milliseconds. */
  readonly limitedUntil: number;
  /** Interval of requests that its rate limit allows; 0 without a limit. */
  readonly intervalMs: number;
  /** Requests of this daemon that are in flight there. */
  readonly inFlight: number;
  /** Requests of this daemon that were in flight at the time of the report. */
  readonly inFlightAtReport: number;
  /** Time of the report, in milliseconds. */
  readonly reportedAt: number;
  /** Moving share of failed requests, from 0 to 1. */
  readonly failures: number;
  /** Consecutive failed probes. */
  readonly failedProbes: number;
  /**
   * Time until which the failed daemon is avoided, in milliseconds: requests
   * with keys are refused, others prefer another instance.
   */
  readonly avoidedUntil: number;
  /**
   * Time until which other instances are preferred because the daemon is
   * suspected, in milliseconds.
   */
  readonly suspectedUntil: number;
}

/** Load of an instance without any report. */
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

/** An event that changes the load of an instance. */
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
  /** The daemon has failed. */
  | {readonly kind: 'unreachable'}
  /** The daemon is suspected: it answers later than others, or not at all. */
  | {readonly kind: 'suspected'}
  /** A probe on a new connection was answered. */
  | {readonly kind: 'reachable'};

const REACHABLE = {failedProbes: 0, avoidedUntil: 0, suspectedUntil: 0};

/** Weight of the newest result in the moving share of failures. */
const FAILURE_WEIGHT = 0.1;

/**
 * Time for which a failed or suspected instance is avoided, in milliseconds;
 * ends early when the daemon beside it answers a probe.
 */
const AVOID_MS = 3000;

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
      const failedProbes = load.failedProbes + 1;
      return {...load, failedProbes, avoidedUntil: now + AVOID_MS};
    }
    case 'suspected': {
      const failedProbes = load.failedProbes + 1;
      return {...load, failedProbes, suspectedUntil: now + AVOID_MS};
    }
    case 'reachable':
      return {...load, ...REACHABLE};
  }
}

/**
 * Returns the time until the rate limit of an instance allows one more request,
 * in milliseconds, after the requests sent there since its report.
 *
 * @example
 * limitDelayMs(UNKNOWN_LOAD, performance.now()); // 0
 */
export function limitDelayMs(load: InstanceLoad, now: number): number {
  const {limitedUntil, intervalMs, inFlight, inFlightAtReport} = load;
  if (intervalMs === 0) return 0;
  const sentSince = Math.max(0, inFlight - inFlightAtReport);
  return Math.max(0, limitedUntil - now) + sentSince * intervalMs;
}
