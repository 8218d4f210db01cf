import {AnswerLostError, UnavailableError} from './errors.js';
import type {ObjectStore, StoredObject, WriteResult} from './store.js';

/** Result of a conditional write after a lost answer was resolved. */
export type PutResult =
  | {readonly kind: 'stored'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current?: StoredObject}
  /** The write certainly had no effect. */
  | {readonly kind: 'unavailable'}
  /** The write may have taken effect. */
  | {readonly kind: 'unknown'};

/**
 * Writes an object conditionally. When the answer is lost, reads the object
 * back and compares; the value must therefore be one that no other writer
 * writes, for example because it names the writer.
 *
 * @example
 * const result = await putResolved(platform, 'members/a', text, 12);
 */
export async function putWithReadBack(
  platform: ObjectStore,
  key: string,
  value: string,
  expected: number,
): Promise<PutResult> {
  try {
    const result = await platform.put(key, value, expected);
    return result.kind === 'conflict' ? resolveConflict(result, value) : result;
  } catch (error) {
    if (error instanceof UnavailableError) return {kind: 'unavailable'};
    if (!(error instanceof AnswerLostError)) throw error;
    return readBack(platform, key, value, expected);
  }
}

/** An earlier try of the same write may have taken effect after all. */
function resolveConflict(
  conflict: Extract<WriteResult, {kind: 'conflict'}>,
  value: string,
): PutResult {
  const {current} = conflict;
  if (current?.value !== value) return conflict;
  return {kind: 'stored', version: current.version};
}

async function readBack(
  platform: ObjectStore,
  key: string,
  value: string,
  expected: number,
): Promise<PutResult> {
  let current: StoredObject | undefined;
  try {
    current = await platform.get(key);
  } catch (error) {
    if (error instanceof UnavailableError) return {kind: 'unknown'};
    throw error;
  }
  if (current?.value === value) {
    return {kind: 'stored', version: current.version};
  }
  if ((current?.version ?? 0) === expected) return {kind: 'unknown'};
  return {kind: 'conflict', current};
}
