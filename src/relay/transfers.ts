import {scheduleTimeout, type Schedule} from '../admission/index.js';
import type {QueueState} from './queue.js';
import {createSlots, type Claim, type Denied} from './slots.js';

/**
 * Long bodies that travel to an instance at a time. One keeps the link busy while
 * the other is asked for; more would only share the link, and delay all short
 * messages behind them.
 */
const TRANSFERS = 2;

/**
 * Time after which a body that was asked for and has not arrived gives its place
 * up, in milliseconds: about ten times what a usual upload takes.
 */
const TRANSFER_LIMIT_MS = 1500;

/** A request whose long body is offered. */
export interface Offered extends Claim {
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
  readonly take: (
    offered: Offered,
    signal: () => AbortSignal,
  ) => Promise<Denied | undefined>;
  /** Tells that the body of a request has arrived, or won't. */
  readonly settle: (name: string, arrived: boolean) => void;
  /** The state as of the last event. */
  readonly state: () => QueueState;
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
  const {schedule = scheduleTimeout} = options;
  const turns = createSlots({...options, slots: TRANSFERS});
  const awaited = new Map<string, (arrived: boolean) => void>();

  const expect = (name: string, release: (ran: boolean) => void) => {
    const cancel = schedule(TRANSFER_LIMIT_MS, () => end(false));
    const end = (arrived: boolean) => {
      cancel();
      if (awaited.get(name) === end) awaited.delete(name);
      release(arrived);
    };
    awaited.get(name)?.(false);
    awaited.set(name, end);
  };

  return {
    take: async ({name, ...claim}, signal) => {
      const grant = await turns.take(claim, signal);
      if (grant.kind === 'denied') return grant;
      expect(name, grant.release);
      return undefined;
    },
    settle: (name, arrived) => awaited.get(name)?.(arrived),
    state: turns.state,
  };
}
