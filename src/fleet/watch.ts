import {setTimeout as sleep} from 'node:timers/promises';
import {
  RevisionGoneError,
  UnavailableError,
  type Change,
  type Listing,
  type ObjectStore,
} from '../store/index.js';

/** Delay before the next attempt after the store was unavailable. */
const RETRY_DELAY_MS = 300;

/** Callbacks of a watch of the objects under a prefix. */
export interface PrefixListener {
  /** Receives all objects under the prefix, after each listing. */
  readonly listed: (listing: Listing) => void;
  /** Receives a change that follows the listing. */
  readonly changed: (change: Change) => void;
  /** Receives whether the store is reachable and, if it is not, the reason. */
  readonly reachabilityChanged: (isReachable: boolean, reason: string) => void;
  /** Returns whether work waits for a change; by default none does. */
  readonly isAwaited?: () => boolean;
}

/**
 * Watches the objects under a prefix until aborted: lists them, watches from
 * the revision of the listing on, and lists again when the store has dropped
 * the history from there, or has sent something that cannot be read. Retries
 * after a delay while the store is unavailable.
 *
 * @example
 * void watchPrefix(store, 'fleet/', listener, controller.signal);
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
        listener.listed(listing);
        revision = checkRevision(listing.revision);
      }
      listener.reachabilityChanged(true, '');
      const changes = store.watch(prefix, revision, signal, listener.isAwaited);
      for await (const change of changes) {
        revision = Math.max(revision, checkRevision(change.version));
        listener.changed(change);
      }
    } catch (error) {
      if (error instanceof RevisionGoneError) {
        revision = undefined;
        continue;
      }
      // Of what could not be read, only a listing tells the content.
      if (!(error instanceof UnavailableError)) revision = undefined;
      listener.reachabilityChanged(false, (error as Error).message);
      await sleep(RETRY_DELAY_MS);
    }
  }
}

function checkRevision(revision: number): number {
  if (Number.isInteger(revision)) return revision;
  throw new TypeError(`expected an integer revision, found ${revision}`);
}
