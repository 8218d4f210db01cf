import type {Change, WriteResult} from '../../src/store/store.js';
import {EMPTY_STORE, applyWrite, type Store, type Write} from './store.js';

/** Current store, with notification of its changes. */
export interface ObservableStore {
  readonly snapshot: () => Store;
  readonly write: (write: Write) => WriteResult;
  /** Calls the listener for each change; returns a function that removes it. */
  readonly subscribe: (listener: (change: Change) => void) => () => void;
}

/**
 * Creates an observable store without objects.
 *
 * @example
 * createObservableStore().write({key: 'a', value: '1', expected: 0}); // {kind: 'stored', version: 1}
 */
export function createObservableStore(): ObservableStore {
  let store = EMPTY_STORE;
  const listeners = new Set<(change: Change) => void>();
  return {
    snapshot: () => store,
    write: write => {
      const written = applyWrite(store, write);
      store = written.store;
      const {change} = written;
      if (change) for (const listener of [...listeners]) listener(change);
      return written.result;
    },
    subscribe: listener => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
