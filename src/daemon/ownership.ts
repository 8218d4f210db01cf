import {formatSlice} from '../model/index.js';
import type {Ownership} from '../model/index.js';
import {holdsTerm, routableMembers, routeOf} from '../ownership/index.js';
import type {State} from '../ownership/index.js';

/** The ownership state as the request path sees it. */
export interface RequestView extends Ownership {
  /** Slices that have requests in flight. */
  readonly busy: () => ReadonlySet<string>;
  /**
   * Returns the mean number of requests in flight of each slice since the last
   * call.
   */
  readonly takeLoads: () => ReadonlyMap<string, number>;
  /** Wakes the requests that wait for a route. */
  readonly notify: () => void;
}

/** Longest wait for a change of routes before the route is asked for again. */
const WAIT_LIMIT_MS = 50;

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
  const meter = createMeter(clock);
  const waiting = new Set<() => void>();
  return {
    route: (service, slice) => routeOf(state(), service, slice, clock()),
    members: service => routableMembers(state(), service),
    holdsTerm: (service, slice, epoch) =>
      holdsTerm(state(), service, slice, epoch, clock()),
    trackRequest: (service, slice) => {
      const id = formatSlice({service, slice});
      const enteredAt = clock();
      const leave = enter(inFlight, id);
      return () => {
        leave();
        meter.add(id, enteredAt);
      };
    },
    takeLoads: meter.take,
    routeChanged: () => nextChange(waiting),
    reportUnreachable: () => {},
    busy: () => new Set(inFlight.keys()),
    notify: () => [...waiting].forEach(wake => wake()),
  };
}

interface Meter {
  readonly add: (id: string, enteredAt: number) => void;
  readonly take: () => ReadonlyMap<string, number>;
}

/** Measures the mean number of requests in flight of each slice. */
function createMeter(clock: () => number): Meter {
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

function enter(inFlight: Map<string, number>, id: string): () => void {
  inFlight.set(id, (inFlight.get(id) ?? 0) + 1);
  let left = false;
  return () => {
    if (left) return;
    left = true;
    const count = (inFlight.get(id) ?? 1) - 1;
    if (count > 0) inFlight.set(id, count);
    else inFlight.delete(id);
  };
}

function nextChange(waiting: Set<() => void>): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      waiting.delete(done);
      resolve();
    };
    const timer = setTimeout(done, WAIT_LIMIT_MS);
    waiting.add(done);
  });
}
