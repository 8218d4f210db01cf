import {entriesAfter} from '../membership/index.js';
import type {Mirror, MirrorEntry} from '../membership/index.js';
import type {Publish} from '../peer/index.js';

/** Time between two signs of life on a quiet stream, in milliseconds. */
const KEEP_ALIVE_INTERVAL_MS = 1_000;

/** Objects in one message of a stream. */
const BATCH_OBJECTS = 64;

/** Spreads the objects of a mirror to those that follow it. */
export interface Publisher {
  readonly publish: Publish;
  /** Wakes the streams after the feed has brought objects. */
  readonly notify: () => void;
  readonly followers: () => number;
}

/**
 * Creates a publisher over a mirror.
 *
 * @param isSourceLive Tells whether the mirror's own source is alive; a stream sends
 *     no sign of life otherwise, so that its follower turns elsewhere.
 *
 * @example
 * const publisher = createPublisher(() => mirror, () => true);
 */
export function createPublisher(
  mirror: () => Mirror,
  isSourceLive: () => boolean,
): Publisher {
  const waiters = new Set<() => void>();
  async function* publish(after: number, signal: AbortSignal) {
    let sent = after;
    let isFirst = true;
    while (!signal.aborted) {
      const entries = entriesAfter(mirror(), sent);
      sent = Math.max(sent, mirror().revision);
      for (let i = 0; i < entries.length; i += BATCH_OBJECTS) {
        yield entries.slice(i, i + BATCH_OBJECTS);
      }
      if (entries.length === 0 && (isFirst || isSourceLive()))
        yield EMPTY_BATCH;
      isFirst = false;
      await waitForChange(waiters, signal);
    }
  }
  return {
    publish,
    notify: () => [...waiters].forEach(wake => wake()),
    followers: () => waiters.size,
  };
}

const EMPTY_BATCH: readonly MirrorEntry[] = [];

function waitForChange(
  waiters: Set<() => void>,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      waiters.delete(done);
      signal.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, KEEP_ALIVE_INTERVAL_MS);
    waiters.add(done);
    signal.addEventListener('abort', done, {once: true});
  });
}
