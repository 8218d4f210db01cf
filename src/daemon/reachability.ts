import {CONFIGURATION_KEY, withCallCounts} from '../store/index.js';
import type {CallKind, CallResult, ObjectStore} from '../store/index.js';

/** The platform as seen by a daemon, and whether it answers. */
export interface Reachability {
  readonly platform: ObjectStore;
  readonly isReachable: () => boolean;
  readonly close: () => void;
}

/** Time between two attempts to reach a lost platform, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;

/** Calls in a row without an answer after which the platform counts as lost. */
const FAILURE_THRESHOLD = 2;

/**
 * Wraps a platform and tells from its calls whether it answers. While it does
 * not, it is asked at intervals until it does.
 *
 * @param onCall Told of each call, for the metrics.
 *
 * @example
 * const {platform} = watchReachability(client, reachable => log(reachable), () => {});
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
