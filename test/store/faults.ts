import {
  AnswerLostError,
  UnavailableError,
  type ObjectStore,
  type WriteResult,
} from '../../src/store/index.js';
import {
  createObservableStore,
  type Write,
} from '../../standin/platform/index.js';

/** What happens at one call; `late` takes effect after a later call. */
export type Fault = 'none' | 'down' | 'lost' | 'dropped' | 'late' | 'rival';

/** A platform that follows a script of faults, and works once it is used up. */
export interface ScriptedPlatform {
  readonly platform: Pick<ObjectStore, 'get' | 'put'> & ObjectStore;
  /** Applies the writes that are still under way. */
  readonly settle: () => void;
  readonly value: () => string | undefined;
}

/** Creates such a platform; a rival writes before a write marked `rival`. */
export function scriptedPlatform(
  script: readonly Fault[],
  rival: (value: string | undefined) => string,
): ScriptedPlatform {
  const holder = createObservableStore();
  const faults = [...script];
  let late: Write[] = [];
  const valueOf = (key: string) => holder.snapshot().objects.get(key);
  const settle = () => {
    late.forEach(write => holder.write(write));
    late = [];
  };

  async function get(key: string) {
    const fault = faults.shift() ?? 'none';
    if (fault !== 'none') throw new UnavailableError('down');
    return valueOf(key);
  }

  async function put(key: string, value: string, expected: number) {
    const fault = faults.shift() ?? 'none';
    const write = {key, value, expected};
    if (fault === 'down') throw new UnavailableError('down');
    if (fault === 'dropped') throw new AnswerLostError('lost');
    if (fault === 'late') {
      late.push(write);
      throw new AnswerLostError('lost');
    }
    if (fault === 'rival') writeRival(key);
    const result: WriteResult = holder.write(write);
    settle();
    if (fault === 'lost') throw new AnswerLostError('lost');
    return result;
  }

  function writeRival(key: string): void {
    const current = valueOf(key);
    const expected = current?.version ?? 0;
    holder.write({key, value: rival(current?.value), expected});
  }

  const unused = () => {
    throw new Error('not used here');
  };
  const platform = {get, put, list: unused, delete: unused, watch: unused};
  return {platform, settle, value: () => valueOf('k')?.value};
}
