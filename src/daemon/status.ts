import type {Status} from '../model/index.js';
import {isLeaseValid} from '../ownership/index.js';
import type {State} from '../ownership/index.js';

/** What a status tells beside the ownership state. */
export interface RuntimeStatus {
  readonly configurationVersion: number;
  readonly inFlight: number;
  readonly upstreamHealthy: boolean;
}

/**
 * Builds what a daemon reports of itself.
 *
 * @param now Monotonic time of the daemon, in milliseconds.
 *
 * @example
 * statusOf(loop.state(), facts, performance.now()).leaseValid;
 */
export function statusOf(
  state: State,
  runtime: RuntimeStatus,
  now: number,
): Status {
  const {self, holder, storedRecord: record} = state;
  const holdings = [...state.holdings.values()];
  return {
    ...runtime,
    instance: self.instance,
    generation: holder.lease.generation,
    process: self.process,
    state: state.isDraining ? 'draining' : (record?.state ?? 'starting'),
    site: self.site,
    service: state.upstream?.service ?? '',
    leaseValid: isLeaseValid(holder, now),
    slices: holdings.filter(holding => holding.state === 'serving').length,
    platformReachable: state.isPlatformReachable,
    members: [...state.view.members.values()],
  };
}
