import {
  AnswerLostError,
  RevisionGoneError,
  UnavailableError,
  type Change,
  type ObjectStore,
  type WriteResult,
} from '../../src/store/index.js';
import {createHolder, type Holder} from './holder.js';
import {changesAfter, listObjects, type Store, type Write} from './store.js';

/** A platform in memory whose faults are set by the test that uses it. */
export interface MemoryPlatform extends ObjectStore {
  readonly store: () => Store;
  /** Makes every call fail and every watch end until it is set to false. */
  readonly setDown: (down: boolean) => void;
  /** Makes the next writes take effect and lose their answers. */
  readonly loseAnswers: (count: number) => void;
}

/**
 * Creates a platform in memory without objects.
 *
 * @example
 * const platform = memoryPlatform();
 * await platform.put('a', '1', 0); // {kind: 'stored', version: 1}
 */
export function memoryPlatform(): MemoryPlatform {
  const holder = createHolder();
  const watches = new Set<() => void>();
  let isDown = false;
  let answersToLose = 0;

  function refuseWhenDown(): void {
    if (isDown) throw new UnavailableError('the platform is down');
  }

  async function write(request: Write): Promise<WriteResult> {
    refuseWhenDown();
    const result = holder.write(request);
    if (answersToLose === 0) return result;
    answersToLose -= 1;
    throw new AnswerLostError('the answer was lost');
  }

  return {
    store: holder.store,
    setDown: down => {
      isDown = down;
      if (down) for (const end of [...watches]) end();
    },
    loseAnswers: count => {
      answersToLose = count;
    },
    get: async key => {
      refuseWhenDown();
      return holder.store().objects.get(key);
    },
    list: async prefix => {
      refuseWhenDown();
      return listObjects(holder.store(), prefix);
    },
    put: (key, value, expected) => write({key, value, expected}),
    delete: (key, expected) => write({key, expected}),
    watch: (prefix, after, signal) => {
      return watchHolder(holder, prefix, after, signal, end => {
        refuseWhenDown();
        watches.add(end);
        return () => watches.delete(end);
      });
    },
  };
}

async function* watchHolder(
  holder: Holder,
  prefix: string,
  after: number,
  signal: AbortSignal,
  open: (end: () => void) => () => void,
): AsyncGenerator<Change> {
  const pending: Change[] = [];
  let isOpen = true;
  let wake = () => {};
  const close = open(() => {
    isOpen = false;
    wake();
  });
  const onAbort = () => wake();
  signal.addEventListener('abort', onAbort);
  const past = changesAfter(holder.store(), prefix, after);
  const unsubscribe = holder.subscribe(change => {
    if (!change.key.startsWith(prefix)) return;
    pending.push(change);
    wake();
  });
  try {
    if (!past) throw new RevisionGoneError(`revision ${after} is too old`);
    yield* past;
    while (isOpen && !signal.aborted) {
      while (pending.length > 0) yield pending.shift()!;
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
