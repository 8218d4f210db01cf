import {formatSlice} from '../model/index.js';
import type {Ownership} from '../model/index.js';
import {holdsTerm, routableMembers, routeOf} from '../ownership/index.js';
import type {State} from '../ownership/index.js';

/** The ownership state as the request path sees it. */
export interface RequestView extends Ownership {
  /** Slices that have requests in flight. */
  readonly busySlices: () => ReadonlySet<string>;
  /**
   * Returns the mean number of requests in flight of each slice since the last
   * call.
   */
  readonly takeLoads: () => ReadonlyMap<string, number>;
  /** Wakes the requests that wait for a route. */
  readonly notifyRouteChange: () => void;
}

/** Longest wait for a change of routes before the route is asked for again. */
const ROUTE_WAIT_LIMIT_MS = 50;

/**
 * Creates the view of the ownership state for the request path.
 *
 * @param clock Monotonic time in milliseconds.
 *
 * @example
 * const ownership = createRequestView(() => loop.state(), () => performance.now());
 */
export function createRequestView(
  state: () => State,
  clock: () => number,
): RequestView {
  const inFlight = new Map<string, number>();
  const meter = createLoadMeter(clock);
  const waiters = new Set<() => void>();
  return {
    route: (service, slice) => routeOf(state(), service, slice, clock()),
    members: service => routableMembers(state(), service),
    holdsTerm: (service, slice, epoch) =>
      holdsTerm(state(), service, slice, epoch, clock()),
    trackRequest: (service, slice) => {
      const id = formatSlice({service, slice});
      const startedAt = clock();
      const endRequest = beginRequest(inFlight, id);
      return () => {
        endRequest();
        meter.add(id, startedAt);
      };
    },
    takeLoads: meter.take,
    routeChanged: () => waitForRouteChange(waiters),
    reportUnreachable: () => {},
    busySlices: () => new Set(inFlight.keys()),
    notifyRouteChange: () => [...waiters].forEach(wake => wake()),
  };
}

interface LoadMeter {
  readonly add: (id: string, enteredAt: number) => void;
  readonly take: () => ReadonlyMap<string, number>;
}

/** Measures the mean number of requests in flight of each slice. */
function createLoadMeter(clock: () => number): LoadMeter {
  let busyMs = new Map<string, number>();
  let since = clock();
  return {
    add: (id, enteredAt) => {
      const time = clock() - Math.max(enteredAt, since);
      busyMs.set(id, (busyMs.get(id) ?? 0) + time);
    },
    take: () => {
      const elapsed = Math.max(1, clock() - since);
      const loads = [...busyMs].map(
        ([id, time]) => [id, time / elapsed] as const,
      );
      busyMs = new Map();
      since = clock();
      return new Map(loads);
    },
  };
}

function beginRequest(inFlight: Map<string, number>, id: string): () => void {
  inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
  let hasEnded = false;
  return () => {
    if (hasEnded) return;
    hasEnded = true;
    const count = (inFlight.get(id) ?? 1) - 1;
    if (count > 0) inFlight.set(id, count);
    else inFlight.delete(id);
  };
}

function waitForRouteChange(waiters: Set<() => void>): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      waiters.delete(done);
      resolve();
    };
    const timer = setTimeout(done, ROUTE_WAIT_LIMIT_MS);
    waiters.add(done);
  });
}
