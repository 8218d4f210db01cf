import {AnswerLostError, UnavailableError} from './errors.js';
import type {ObjectStore, StoredObject, WriteResult} from './store.js';

/** Writes that one update tries. */
const DEFAULT_MAX_ATTEMPTS = 8;

/**
 * Computes the JSON text of the next value, or undefined to leave the object
 * as it is.
 */
export type ValueChange = (
  current: StoredObject | undefined,
) => string | undefined;

/** Result of an update whose outcome is certain. */
export type UpdateResult =
  /** The change is part of this object. */
  | {readonly kind: 'stored'; readonly object: StoredObject}
  /** The change asked for nothing, and nothing was written. */
  | {readonly kind: 'unchanged'; readonly object?: StoredObject}
  /** Others wrote first at every attempt, and nothing was written. */
  | {readonly kind: 'conflict'; readonly object?: StoredObject};

/**
 * What is known of the writes of an update. A write whose answer was lost may
 * still take effect for as long as the object has the version it expects.
 */
interface Attempt {
  readonly current: StoredObject | undefined;
  /** Version that the write with the lost answer expects. */
  readonly unconfirmedVersion?: number;
}

type AttemptOutcome =
  {readonly result: UpdateResult} | {readonly next: Attempt};

/**
 * Reads an object, changes it and writes it back under the condition that
 * nobody wrote in between. A conflict is tried again on the newer value; a
 * lost answer is resolved by reading back. The change takes effect at most
 * once, also when a failed update is called again.
 *
 * @param isApplied Tells whether a value already contains this very change. It has
 * to hold for the changed value and for every later value built on it.
 * @throws {UnavailableError} when the change certainly did not take effect.
 * @throws {AnswerLostError} when the change may have taken effect, or may yet.
 * @throws {RangeError} when the limit is not a positive integer.
 *
 * @example
 * const result = await update(
 *   platform,
 *   'configuration/current',
 *   current => JSON.stringify({...next, version: versionOf(current) + 1}),
 *   value => JSON.parse(value).change === next.change,
 * );
 */
export async function update(
  platform: ObjectStore,
  key: string,
  change: ValueChange,
  isApplied: (value: string) => boolean,
  maxAttempts = DEFAULT_MAX_ATTEMPTS,
): Promise<UpdateResult> {
  const current = await platform.get(key);
  return updateFrom(platform, key, current, change, isApplied, maxAttempts);
}

/**
 * Does as `update` from an object that was read before. One that is out of date
 * only costs another attempt.
 *
 * @example
 * await updateFrom(store, 'fleet/member.a', known, () => text, isOwn);
 */
export async function updateFrom(
  platform: ObjectStore,
  key: string,
  current: StoredObject | undefined,
  change: ValueChange,
  isApplied: (value: string) => boolean,
  maxAttempts = DEFAULT_MAX_ATTEMPTS,
): Promise<UpdateResult> {
  if (!Number.isInteger(maxAttempts) || maxAttempts < 1) {
    throw new RangeError(`not a number of attempts: ${maxAttempts}`);
  }
  let attempt: Attempt = {current};
  for (let count = 0; count < maxAttempts; count++) {
    const outcome = await tryOnce(platform, key, attempt, change, isApplied);
    if ('result' in outcome) return outcome.result;
    attempt = outcome.next;
  }
  return finalResult(attempt, isApplied);
}

async function tryOnce(
  platform: ObjectStore,
  key: string,
  attempt: Attempt,
  change: ValueChange,
  isApplied: (value: string) => boolean,
): Promise<AttemptOutcome> {
  const {current} = attempt;
  if (current && isApplied(current.value)) {
    return {result: {kind: 'stored', object: current}};
  }
  const value = change(current);
  if (value === undefined) {
    throwIfPending(attempt);
    return {result: {kind: 'unchanged', object: current}};
  }
  const expected = current?.version ?? 0;
  try {
    const result = await platform.put(key, value, expected);
    return afterWrite(attempt, key, value, result);
  } catch (error) {
    if (error instanceof AnswerLostError)
      return readBack(platform, key, expected);
    throwIfPending(attempt, error);
    throw error;
  }
}

function afterWrite(
  attempt: Attempt,
  key: string,
  value: string,
  result: WriteResult,
): AttemptOutcome {
  if (result.kind === 'stored') {
    const object = {key, value, version: result.version};
    return {result: {kind: 'stored', object}};
  }
  return {next: {...attempt, current: result.current}};
}

async function readBack(
  platform: ObjectStore,
  key: string,
  unconfirmedVersion: number,
): Promise<AttemptOutcome> {
  try {
    return {
      next: {
        current: await platform.get(key),
        unconfirmedVersion: unconfirmedVersion,
      },
    };
  } catch (cause) {
    throw new AnswerLostError(`${key}: the lost answer is not resolved`, {
      cause,
    });
  }
}

function finalResult(
  attempt: Attempt,
  isApplied: (value: string) => boolean,
): UpdateResult {
  const {current} = attempt;
  if (current && isApplied(current.value)) {
    return {kind: 'stored', object: current};
  }
  throwIfPending(attempt);
  return {kind: 'conflict', object: current};
}

function throwIfPending(
  {current, unconfirmedVersion: unconfirmedVersion}: Attempt,
  cause?: unknown,
): void {
  if (
    unconfirmedVersion === undefined ||
    unconfirmedVersion !== (current?.version ?? 0)
  )
    return;
  throw new AnswerLostError('a write whose answer was lost may take effect', {
    cause: cause instanceof Error ? cause : new UnavailableError('no answer'),
  });
}
