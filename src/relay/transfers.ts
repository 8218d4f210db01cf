import {scheduleTimeout, type Schedule} from '../admission/index.js';
import type {QueueState} from './queue.js';
import {createSlots, type Claim, type Denied} from './slots.js';

/**
 * Concurrent transfers of long bodies to an instance. One keeps the link busy
 * while the next is requested; more would share the bandwidth and delay all
 * short messages behind them.
 */
const MAX_TRANSFERS = 2;

/**
 * Time after which an accepted body that has not started to arrive loses its
 * slot, in milliseconds: several round trips, and two bodies ahead of it on a 7
 * Mbit/s link.
 */
const START_TIMEOUT_MS = 500;

/**
 * Longest wait for a transfer slot, in milliseconds; a body that would wait
 * longer is refused immediately with a Retry-After. The sender waits slightly
 * longer, so that it receives the refusal.
 */
export const MAX_TRANSFER_WAIT_MS = 900;

/** A request whose long body is offered. */
export interface OfferedBody extends Claim {
  /** Identifier of the request. */
  readonly name: string;
}

/**
 * Transfers of long bodies to the local instance, and the offered bodies that
 * wait.
 */
export interface Transfers {
  /**
   * Acquires a slot for the transfer of a body.
   *
   * @returns the refusal; undefined when the body may be sent.
   */
  readonly acquire: (
    offered: OfferedBody,
    signal: () => AbortSignal,
  ) => Promise<Denied | undefined>;
  /** Records that the body of a request starts to arrive. */
  readonly start: (name: string) => void;
  /** Records that the body of a request has arrived, or will not arrive. */
  readonly finish: (name: string, arrived: boolean) => void;
  /** State after the last event. */
  readonly state: () => QueueState;
}

/** An accepted body that has not arrived completely. */
interface PendingBody {
  /** Called when the body starts to arrive; cancels the start timeout. */
  readonly begin: () => void;
  readonly end: (arrived: boolean) => void;
}

/** Settings of `createTransfers`. */
export interface TransfersOptions {
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly schedule?: Schedule;
}

/**
 * Creates the transfers. Their slots are granted like those of an instance: by
 * latency objective, then by priority, and not to bodies that would arrive too
 * late.
 *
 * When uploads need about the whole bandwidth of the link of an instance, the
 * accepted ones arrive soon, and look-ups, probes and watches are not queued
 * behind all the others.
 *
 * @example
 * const transfers = createTransfers({clock: () => performance.now()});
 * const denied = await transfers.acquire(offered, () => controller.signal);
 * if (!denied) transfers.finish(offered.name, true);
 */
export function createTransfers(options: TransfersOptions): Transfers {
  const {clock, schedule = scheduleTimeout} = options;
  const transferSlots = createSlots({...options, slots: MAX_TRANSFERS});
  const awaited = new Map<string, PendingBody>();

  const expect = (name: string, release: (ran: boolean) => void) => {
    const begin = schedule(START_TIMEOUT_MS, () => body.end(false));
    const end = (arrived: boolean) => {
      begin();
      if (awaited.get(name) === body) awaited.delete(name);
      release(arrived);
    };
    const body = {begin, end};
    awaited.get(name)?.end(false);
    awaited.set(name, body);
  };

  return {
    acquire: async ({name, ...claim}, signal) => {
      const latestAt = clock() + MAX_TRANSFER_WAIT_MS;
      const objectiveAt = Math.min(claim.objectiveAt, latestAt);
      const deadlineAt = Math.min(claim.deadlineAt, latestAt);
      const bounded = {...claim, objectiveAt, deadlineAt};
      const grant = await transferSlots.acquire(bounded, signal);
      if (grant.kind === 'denied') return grant;
      expect(name, grant.release);
      return undefined;
    },
    start: name => awaited.get(name)?.begin(),
    finish: (name, arrived) => awaited.get(name)?.end(arrived),
    state: transferSlots.state,
  };
}
