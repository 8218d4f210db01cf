import {
  EMPTY_WINDOW,
  acceptSequence,
  type SequenceWindow,
} from './sequence-window.js';
import type {Hop} from './hop.js';

/** Largest difference between the wall clocks of two daemons plus transit. */
export const HOP_AGE_LIMIT_MS = 60_000;

/** Time after which the window of a silent sender is forgotten. */
const SENDER_RETENTION_MS = 5 * HOP_AGE_LIMIT_MS;

const CLEANUP_SENDER_COUNT = 2048;

/** Remembers the forwarded requests that this process has received. */
export interface ReceivedHops {
  /** Tells whether a hop is new; a repeated or outdated one is not. */
  readonly accept: (hop: Hop) => boolean;
}

interface SenderRecord {
  readonly window: SequenceWindow;
  readonly lastReceivedAt: number;
}

/**
 * Creates the memory of received hops, empty at first. Hops are addressed to one
 * process, so a restart forgets nothing that could be repeated.
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
