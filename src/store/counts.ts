import {AnswerLostError} from './errors.js';
import type {ObjectStore, WriteResult} from './store.js';

/** The kind of a platform call. */
export type CallKind = 'get' | 'list' | 'put' | 'delete' | 'watch';

/** The outcome of a platform call. */
export type CallResult = 'done' | 'conflict' | 'unavailable' | 'answer-lost';

/**
 * Wraps a platform so that `onCall` is called at the end of each call. A watch is
 * reported as `done` when it is opened.
 *
 * @example
 * const platform = withCallCounts(inner, (kind, result) => calls.inc({kind, result}));
 */
export function withCallCounts(
  platform: ObjectStore,
  onCall: (kind: CallKind, result: CallResult) => void,
): ObjectStore {
  const report = async <T>(kind: CallKind, call: Promise<T>): Promise<T> => {
    try {
      const result = await call;
      onCall(kind, isConflict(result) ? 'conflict' : 'done');
      return result;
    } catch (error) {
      const isLost = error instanceof AnswerLostError;
      onCall(kind, isLost ? 'answer-lost' : 'unavailable');
      throw error;
    }
  };
  return {
    ...(platform.era && {era: platform.era}),
    get: key => report('get', platform.get(key)),
    list: prefix => report('list', platform.list(prefix)),
    put: (key, value, expected) =>
      report('put', platform.put(key, value, expected)),
    delete: (key, expected) => report('delete', platform.delete(key, expected)),
    watch: (prefix, after, signal, isAwaited) => {
      onCall('watch', 'done');
      return platform.watch(prefix, after, signal, isAwaited);
    },
  };
}

function isConflict(result: unknown): boolean {
  return (result as WriteResult | undefined)?.kind === 'conflict';
}
