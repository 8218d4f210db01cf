import {formatSlice} from '../model/index.js';
import type {Ownership} from '../model/index.js';
import {holdsTerm, liveMembers, routeOf} from '../ownership/index.js';
import type {State} from '../ownership/index.js';

/** The ownership state as the request path sees it. */
export interface RequestView extends Ownership {
  /** Slices that have requests in flight. */
  readonly busy: () => ReadonlySet<string>;
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
  const waiting = new Set<() => void>();
  return {
    route: (service, slice) => routeOf(state(), service, slice, clock()),
    members: service => liveMembers(state(), service),
    holds: (service, slice, epoch) =>
      holdsTerm(state(), service, slice, epoch, clock()),
    enter: (service, slice) => enter(inFlight, formatSlice({service, slice})),
    changed: () => nextChange(waiting),
    unreachable: () => {},
    busy: () => new Set(inFlight.keys()),
    notify: () => [...waiting].forEach(wake => wake()),
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
