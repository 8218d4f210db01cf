import type {Versioned} from '../fleet/index.js';
import {
  AnswerLostError,
  UnavailableError,
  revisionOf,
  update,
  updateFrom,
  type UpdateResult,
  type ValueChange,
} from '../store/index.js';
import {SIDECAR_EVENTS} from './events.js';
import type {MapAccess} from './maps.js';

/**
 * Changes a fleet object with a conditional write based on the cached view, and
 * applies the stored result to the view. The write fails if the object has
 * changed in the meantime.
 *
 * @param purpose Purpose of the write, for the log.
 * @param isOwn Returns whether a stored value is the result of this write.
 * @returns undefined when the outcome of the write is not known.
 *
 * @example
 * await writeFromView(access, key, known, 'register', () => text, isOwn);
 */
export async function writeFromView(
  {
    store,
    observeChange,
    log,
  }: Pick<MapAccess, 'store' | 'observeChange' | 'log'>,
  key: string,
  known: Versioned<unknown> | undefined,
  purpose: string,
  change: ValueChange,
  isOwn: (value: string) => boolean,
): Promise<UpdateResult | undefined> {
  // Revision 0 means that the object does not exist.
  const current =
    known && revisionOf(known.version) > 0
      ? {key, value: JSON.stringify(known.value), version: known.version}
      : undefined;
  const changeObserved: ValueChange = object => {
    // After a conflict, nothing may be granted from an older object any more.
    if (object) observeChange(object);
    return change(object);
  };
  try {
    const result = known?.isUndone
      ? await update(store, key, changeObserved, isOwn)
      : await updateFrom(store, key, current, changeObserved, isOwn);
    if (result.object) observeChange(result.object);
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
