import {scheduleTimeout, type Schedule} from '../admission/index.js';
import type {QueueState} from './queue.js';
import {createSlots, type Claim, type Denied} from './slots.js';

/**
 * Long bodies that travel to an instance at a time. One keeps the link busy while
 * the other is asked for; more would only share the link, and delay all short
 * messages behind them.
 */
const MAX_TRANSFERS = 2;

/**
 * Time after which a body that was asked for and has not begun to arrive gives
 * its place up, in milliseconds: several round trips, and the two bodies that may
 * be before it on a link of 7 Mbit/s.
 */
const START_TIMEOUT_MS = 500;

/**
 * Longest wait for a turn, in milliseconds; what would wait longer is told at once
 * when to come back. The sender waits a little longer, so that it hears of it.
 */
export const MAX_TRANSFER_WAIT_MS = 900;

/** A request whose long body is offered. */
export interface OfferedBody extends Claim {
  /** Identifier of the request. */
  readonly name: string;
}

/** The long bodies that travel to the instance beside, and those that wait. */
export interface Transfers {
  /**
   * Waits for a turn to send a body.
   *
   * @returns why the body is not to be sent; undefined when it is awaited.
   */
  readonly acquire: (
    offered: OfferedBody,
    signal: () => AbortSignal,
  ) => Promise<Denied | undefined>;
  /** Tells that the body of a request begins to arrive. */
  readonly start: (name: string) => void;
  /** Tells that the body of a request has arrived, or won't. */
  readonly finish: (name: string, arrived: boolean) => void;
  /** The state as of the last event. */
  readonly state: () => QueueState;
}

/** A body that was asked for. */
interface PendingBody {
  /** The body arrives, so that it is not given up any more. */
  readonly begin: () => void;
  readonly end: (arrived: boolean) => void;
}

/** Settings of `createTransfers`. */
export interface TransfersOptions {
  /** Milliseconds that never go back. */
  readonly clock: () => number;
  readonly schedule?: Schedule;
}

/**
 * Creates the turns of long bodies. They are given out like slots: by objective,
 * then by priority, and to none that would come too late.
 *
 * Answers uploads that ask for about all that the link of an instance carries:
 * those that are sent arrive soon, and look-ups, probes and watches don't wait
 * behind all the others.
 *
 * @example
 * const transfers = createTransfers({clock: () => performance.now()});
 * const denied = await transfers.take(offered, () => controller.signal);
 * if (!denied) transfers.settle(offered.name, true);
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
