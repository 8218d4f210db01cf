import {
  AnswerLostError,
  RevisionGoneError,
  UnavailableError,
  type Change,
  type ObjectStore,
  type WriteResult,
} from '../../src/store/index.js';
import {createObservableStore, type ObservableStore} from './observable.js';
import {changesAfter, listObjects, type Store, type Write} from './store.js';

/** In-memory platform with faults that a test can inject. */
export interface MemoryPlatform extends ObjectStore {
  readonly store: () => Store;
  /** Fails every call and ends every watch until set to false. */
  readonly setDown: (down: boolean) => void;
  /**
   * Applies the next `count` writes but fails them as if the response was lost.
   */
  readonly loseAnswers: (count: number) => void;
}

/**
 * Creates an in-memory platform without objects.
 *
 * @example
 * const platform = createMemoryPlatform();
 * await platform.put('a', '1', 0); // {kind: 'stored', version: 1}
 */
export function createMemoryPlatform(): MemoryPlatform {
  const objectStore = createObservableStore();
  const watches = new Set<() => void>();
  let isDown = false;
  let answersToLose = 0;

  function throwIfDown(): void {
    if (isDown) throw new UnavailableError('the platform is down');
  }

  async function write(request: Write): Promise<WriteResult> {
    throwIfDown();
    const result = objectStore.write(request);
    if (answersToLose === 0) return result;
    answersToLose -= 1;
    throw new AnswerLostError('the write was applied; its response was lost');
  }

  return {
    store: objectStore.snapshot,
    setDown: down => {
      isDown = down;
      if (down) for (const end of [...watches]) end();
    },
    loseAnswers: count => {
      answersToLose = count;
    },
    get: async key => {
      throwIfDown();
      return objectStore.snapshot().objects.get(key);
    },
    list: async prefix => {
      throwIfDown();
      return listObjects(objectStore.snapshot(), prefix);
    },
    put: (key, value, expected) => write({key, value, expected}),
    delete: (key, expected) => write({key, expected}),
    watch: (prefix, after, signal) => {
      return watchStore(objectStore, prefix, after, signal, end => {
        throwIfDown();
        watches.add(end);
        return () => watches.delete(end);
      });
    },
  };
}

async function* watchStore(
  objectStore: ObservableStore,
  prefix: string,
  after: number,
  signal: AbortSignal,
  register: (end: () => void) => () => void,
): AsyncGenerator<Change> {
  const pendingChanges: Change[] = [];
  let isOpen = true;
  let wake = () => {};
  const close = register(() => {
    isOpen = false;
    wake();
  });
  const onAbort = () => wake();
  signal.addEventListener('abort', onAbort);
  const pastChanges = changesAfter(objectStore.snapshot(), prefix, after);
  const unsubscribe = objectStore.subscribe(change => {
    if (!change.key.startsWith(prefix)) return;
    pendingChanges.push(change);
    wake();
  });
  try {
    if (!pastChanges)
      throw new RevisionGoneError(
        `no changes since revision ${after} available`,
      );
    yield* pastChanges;
    while (isOpen && !signal.aborted) {
      while (pendingChanges.length > 0) yield pendingChanges.shift()!;
      if (!isOpen || signal.aborted) break;
      await new Promise<void>(resolve => {
        wake = resolve;
      });
    }
    if (!signal.aborted) throw new UnavailableError('the watch ended');
  } finally {
    unsubscribe();
    close();
    signal.removeEventListener('abort', onAbort);
  }
}
