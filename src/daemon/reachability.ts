import {CONFIGURATION_KEY, withCallCounts} from '../store/index.js';
import type {CallKind, CallResult, ObjectStore} from '../store/index.js';

/** Client of the platform that detects whether the platform is reachable. */
export interface Reachability {
  readonly platform: ObjectStore;
  readonly isReachable: () => boolean;
  readonly close: () => void;
}

/** Interval between two probes of the platform after a failure. */
const PROBE_INTERVAL_MS = 1_000;

/** Consecutive failures after which the platform counts as unreachable. */
const FAILURE_THRESHOLD = 2;

/**
 * Wraps a platform client and derives from the results of its calls whether the
 * platform is reachable. After a failure the platform is probed until a call
 * succeeds.
 *
 * @param onChange Called when the platform becomes reachable or unreachable.
 * @param onCall Called with the kind and result of each call, for metrics.
 *
 * @example
 * const {platform} = trackReachability(client, reachable => log(reachable), () => {});
 */
export function trackReachability(
  client: ObjectStore,
  onChange: (reachable: boolean) => void,
  onCall: (kind: CallKind, result: CallResult) => void,
): Reachability {
  let reachable = true;
  let failures = 0;
  const recordResult = (answered: boolean) => {
    failures = answered ? 0 : failures + 1;
    const next = answered || (reachable && failures < FAILURE_THRESHOLD);
    if (next === reachable) return;
    reachable = next;
    onChange(reachable);
  };
  const platform = withCallCounts(client, (kind, result) => {
    onCall(kind, result);
    recordResult(result === 'done' || result === 'conflict');
  });
  const timer = setInterval(() => {
    if (failures > 0) platform.get(CONFIGURATION_KEY).catch(() => {});
  }, PROBE_INTERVAL_MS);
  return {
    platform,
    isReachable: () => reachable,
    close: () => clearInterval(timer),
  };
}
