import {CONFIGURATION_KEY, withCallCounts} from '../store/index.js';
import type {CallKind, CallResult, ObjectStore} from '../store/index.js';

/** The platform as seen by a daemon, and whether it answers. */
export interface Reachability {
  readonly platform: ObjectStore;
  readonly reachable: () => boolean;
  readonly close: () => void;
}

/** Time between two attempts to reach a lost platform, in milliseconds. */
const PROBE_MS = 1_000;

/** Calls in a row without an answer after which the platform counts as lost. */
const FAILURES_TO_LOSE = 2;

/**
 * Wraps a platform and tells from its calls whether it answers. While it does
 * not, it is asked at intervals until it does.
 *
 * @param called Told of each call, for the metrics.
 *
 * @example
 * const {platform} = watchReachability(client, reachable => log(reachable), () => {});
 */
export function watchReachability(
  inner: ObjectStore,
  changed: (reachable: boolean) => void,
  called: (kind: CallKind, result: CallResult) => void,
): Reachability {
  let reachable = true;
  let failures = 0;
  const settle = (answered: boolean) => {
    failures = answered ? 0 : failures + 1;
    const next = answered || (reachable && failures < FAILURES_TO_LOSE);
    if (next === reachable) return;
    reachable = next;
    changed(reachable);
  };
  const platform = withCallCounts(inner, (kind, result) => {
    called(kind, result);
    settle(result === 'done' || result === 'conflict');
  });
  const timer = setInterval(() => {
    if (failures > 0) platform.get(CONFIGURATION_KEY).catch(() => {});
  }, PROBE_MS);
  return {
    platform,
    reachable: () => reachable,
    close: () => clearInterval(timer),
  };
}
