import {AnswerLostError} from './errors.js';
import type {ObjectStore, WriteResult} from './store.js';

/** Kinds of calls to the platform. */
export type CallKind = 'get' | 'list' | 'put' | 'delete' | 'watch';

/** How a call ended. */
export type CallResult = 'done' | 'conflict' | 'unavailable' | 'answer-lost';

/**
 * Wraps a platform so that each call is reported once it has ended, a watch
 * when it is opened.
 *
 * @example
 * const platform = counted(inner, (kind, result) => calls.inc({kind, result}));
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
    get: key => report('get', platform.get(key)),
    list: prefix => report('list', platform.list(prefix)),
    put: (key, value, expected) =>
      report('put', platform.put(key, value, expected)),
    delete: (key, expected) => report('delete', platform.delete(key, expected)),
    watch: (prefix, after, signal) => {
      onCall('watch', 'done');
      return platform.watch(prefix, after, signal);
    },
  };
}

function isConflict(result: unknown): boolean {
  return (result as WriteResult | undefined)?.kind === 'conflict';
}
