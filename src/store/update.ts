import {AnswerLostError, UnavailableError} from './errors.js';
import type {ObjectStore, StoredObject, WriteResult} from './store.js';

/** Default for the maximum number of writes per update. */
const DEFAULT_MAX_ATTEMPTS = 8;

/**
 * Returns the JSON text of the next value, or undefined to leave the object
 * unchanged.
 */
export type ValueChange = (
  current: StoredObject | undefined,
) => string | undefined;

/** Result of an update whose outcome is known. */
export type UpdateResult =
  /** The object contains the change. */
  | {readonly kind: 'stored'; readonly object: StoredObject}
  /** No change was required, and nothing was written. */
  | {readonly kind: 'unchanged'; readonly object?: StoredObject}
  /** Each attempt conflicted with another writer, and nothing was written. */
  | {readonly kind: 'conflict'; readonly object?: StoredObject};

/**
 * Progress of an update. A write without a response may still take effect while
 * the object has the version that the write expects.
 */
interface Attempt {
  readonly current: StoredObject | undefined;
  /** Version that the last write without a response expects. */
  readonly unconfirmedVersion?: number;
}

type AttemptOutcome =
  {readonly result: UpdateResult} | {readonly next: Attempt};

/**
 * Reads an object, changes it and writes it back by compare-and-swap on the
 * version. Retries a conflict with the newer value, and reads the object back if
 * the response to a write is lost. The change takes effect at most once, even if
 * the caller repeats a failed update.
 *
 * @param isApplied Returns whether a value already contains this change. Must be
 *     true for the changed value and for each later value derived from it.
 * @throws {UnavailableError} if the change certainly did not take effect.
 * @throws {AnswerLostError} if the change may have taken effect or still may.
 * @throws {RangeError} if `maxAttempts` is not a positive integer.
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
 * Performs `update` starting from an object that was read before. An outdated
 * object costs one more attempt.
 *
 * @example
 * await updateFrom(store, 'fleet/member.a', known, () => text, isApplied);
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
    throw new RangeError(
      `maxAttempts must be a positive integer, got ${maxAttempts}`,
    );
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
      next: {current: await platform.get(key), unconfirmedVersion},
    };
  } catch (cause) {
    throw new AnswerLostError(
      `${key}: could not read the object back after a write without a response`,
      {
        cause,
      },
    );
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
  {current, unconfirmedVersion}: Attempt,
  cause?: unknown,
): void {
  if (
    unconfirmedVersion === undefined ||
    unconfirmedVersion !== (current?.version ?? 0)
  )
    return;
  throw new AnswerLostError(
    'a write without a response may still take effect',
    {
      cause:
        cause instanceof Error ? cause : new UnavailableError('no response'),
    },
  );
}
