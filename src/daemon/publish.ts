import {entriesAfter} from '../membership/index.js';
import type {Mirror, MirrorEntry} from '../membership/index.js';
import type {Publish} from '../peer/index.js';

/** Interval between two keep-alive messages on an idle stream. */
const KEEP_ALIVE_INTERVAL_MS = 1_000;

/** Maximum number of objects in one message of a stream. */
const BATCH_OBJECTS = 64;

/** Publishes the objects of a mirror to the daemons that follow it. */
export interface Publisher {
  readonly publish: Publish;
  /** Wakes the streams after the feed has received objects. */
  readonly notify: () => void;
  /** Returns the number of streams that wait for objects. */
  readonly followers: () => number;
}

/**
 * Creates a publisher over a mirror.
 *
 * @param isSourceLive Returns whether the mirror's own source is live. Streams
 *     send no keep-alive messages otherwise, so that followers switch to
 *     another source.
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

/** Keep-alive message of a stream. */
const EMPTY_BATCH: readonly MirrorEntry[] = [];

/** Resolves on a notification, on abort or after the keep-alive interval. */
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
