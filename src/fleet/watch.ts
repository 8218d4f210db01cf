import {setTimeout as sleep} from 'node:timers/promises';
import {
  RevisionGoneError,
  UnavailableError,
  type Change,
  type ObjectStore,
  type StoredObject,
} from '../store/index.js';

/** Pause before the store is asked again, in milliseconds. */
const RETRY_DELAY_MS = 300;

/** What is told to the follower of a prefix. */
export interface PrefixListener {
  /** All objects under the prefix. */
  readonly listed: (objects: readonly StoredObject[]) => void;
  readonly changed: (change: Change) => void;
  /** The store was lost, with the reason, or regained. */
  readonly reachabilityChanged: (isReachable: boolean, reason: string) => void;
}

/**
 * Follows the objects under a prefix until aborted: lists them, watches from
 * the listing on, and lists again when the store has dropped its history.
 *
 * @example
 * void follow(store, 'fleet/', follower, controller.signal);
 */
export async function watchPrefix(
  store: ObjectStore,
  prefix: string,
  listener: PrefixListener,
  signal: AbortSignal,
): Promise<void> {
  let revision: number | undefined;
  while (!signal.aborted) {
    try {
      if (revision === undefined) {
        const listing = await store.list(prefix);
        listener.listed(listing.objects);
        revision = listing.revision;
      }
      listener.reachabilityChanged(true, '');
      for await (const change of store.watch(prefix, revision, signal)) {
        revision = Math.max(revision, change.version);
        listener.changed(change);
      }
    } catch (error) {
      if (error instanceof RevisionGoneError) {
        revision = undefined;
        continue;
      }
      if (!(error instanceof UnavailableError)) throw error;
      listener.reachabilityChanged(false, error.message);
      await sleep(RETRY_DELAY_MS);
    }
  }
}
