import {entriesAfter} from '../membership/index.js';
import type {Mirror, MirrorEntry} from '../membership/index.js';
import type {Publish} from '../peer/index.js';

/** Time between two signs of life on a quiet stream, in milliseconds. */
const KEEP_ALIVE_MS = 1_000;

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
 * @param isLive Tells whether the mirror's own source is alive; a stream sends
 *     no sign of life otherwise, so that its follower turns elsewhere.
 *
 * @example
 * const publisher = createPublisher(() => mirror, () => true);
 */
export function createPublisher(
  mirror: () => Mirror,
  isLive: () => boolean,
): Publisher {
  const wakers = new Set<() => void>();
  async function* publish(after: number, signal: AbortSignal) {
    let sent = after;
    let first = true;
    while (!signal.aborted) {
      const entries = entriesAfter(mirror(), sent);
      sent = Math.max(sent, mirror().revision);
      for (let i = 0; i < entries.length; i += BATCH_OBJECTS) {
        yield entries.slice(i, i + BATCH_OBJECTS);
      }
      if (entries.length === 0 && (first || isLive())) yield NOTHING;
      first = false;
      await nextChange(wakers, signal);
    }
  }
  return {
    publish,
    notify: () => [...wakers].forEach(wake => wake()),
    followers: () => wakers.size,
  };
}

const NOTHING: readonly MirrorEntry[] = [];

function nextChange(
  wakers: Set<() => void>,
  signal: AbortSignal,
): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      wakers.delete(done);
      signal.removeEventListener('abort', done);
      resolve();
    };
    const timer = setTimeout(done, KEEP_ALIVE_MS);
    wakers.add(done);
    signal.addEventListener('abort', done, {once: true});
  });
}
