import {
  EMPTY_WINDOW,
  acceptSequence,
  type SequenceWindow,
} from './sequence-window.js';
import type {Hop} from './hop.js';

/**
 * Bound on the clock difference of two daemons plus the transit time of a hop.
 */
export const HOP_AGE_LIMIT_MS = 60_000;

/** Time after its last hop until the window of a sender is deleted. */
const SENDER_RETENTION_MS = 5 * HOP_AGE_LIMIT_MS;

const CLEANUP_SENDER_COUNT = 2048;

/** Detects forwarded requests that this process has already received. */
export interface ReceivedHops {
  /**
   * Records a hop and returns true if it is new, false if it is a duplicate or
   * its send time differs too much from the local time.
   */
  readonly accept: (hop: Hop) => boolean;
}

interface SenderRecord {
  readonly window: SequenceWindow;
  readonly lastReceivedAt: number;
}

/**
 * Creates an empty record of received hops. It need not survive a restart: hops
 * are addressed to one process, so those sent to an earlier process are
 * refused.
 *
 * @param wallClock Returns milliseconds since 1970.
 *
 * @example
 * const received = createReceivedHops(Date.now);
 * received.accept(hop); // true
 * received.accept(hop); // false
 */
export function createReceivedHops(wallClock: () => number): ReceivedHops {
  const senders = new Map<string, SenderRecord>();
  const removeSilentSenders = (now: number) => {
    for (const [name, sender] of senders) {
      if (now - sender.lastReceivedAt > SENDER_RETENTION_MS)
        senders.delete(name);
    }
  };
  return {
    accept: hop => {
      const now = wallClock();
      if (Math.abs(now - hop.sentAt) > HOP_AGE_LIMIT_MS) return false;
      const previous = senders.get(hop.sender)?.window ?? EMPTY_WINDOW;
      const window = acceptSequence(previous, hop.sequence);
      if (!window) return false;
      senders.set(hop.sender, {window, lastReceivedAt: now});
      if (senders.size > CLEANUP_SENDER_COUNT) removeSilentSenders(now);
      return true;
    },
  };
}
