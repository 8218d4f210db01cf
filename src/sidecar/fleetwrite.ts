import type {Versioned} from '../fleet/index.js';
import {
  AnswerLostError,
  UnavailableError,
  updateFrom,
  type UpdateResult,
  type ValueChange,
} from '../store/index.js';
import {SIDECAR_EVENTS} from './events.js';
import type {MapAccess} from './maps.js';

/**
 * Changes an object of the fleet from the copy in the view, under the condition
 * that nobody changed it meanwhile, and takes what the store answers.
 *
 * @param purpose What the write is for, for the log.
 * @param isOwn Tells whether a value is what this write was to bring about.
 * @returns undefined when the store does not say what became of the write.
 *
 * @example
 * await writeFromView(access, key, known, 'register', () => text, isOwn);
 */
export async function writeFromView(
  {
    store,
    observeChange: learn,
    log,
  }: Pick<MapAccess, 'store' | 'learn' | 'log'>,
  key: string,
  known: Versioned<unknown> | undefined,
  purpose: string,
  change: ValueChange,
  isOwn: (value: string) => boolean,
): Promise<UpdateResult | undefined> {
  // A copy without a version stands for an object that was never written.
  const current = known?.version
    ? {key, value: JSON.stringify(known.value), version: known.version}
    : undefined;
  try {
    const result = await updateFrom(store, key, current, change, isOwn);
    if (result.object) learn(result.object);
    return result;
  } catch (error) {
    const isKnown =
      error instanceof UnavailableError || error instanceof AnswerLostError;
    if (!isKnown) throw error;
    const {message} = error;
    log(SIDECAR_EVENTS.writeFailed, {key, purpose, message});
    return undefined;
  }
}
