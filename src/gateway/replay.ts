import {hashText} from '../model/index.js';

/** Time for which a request with an idempotency key is stored. */
export const REPLAY_WINDOW_MS = 10 * 60 * 1000;

/** Number of partitions of the window; a change copies only one of them. */
const PARTITION_COUNT = 16;

/** Limit on the stored requests of one partition. */
export const PARTITION_ENTRY_LIMIT = 256;

/** Longest answer body that is stored for duplicates. */
export const REPLAY_ANSWER_LIMIT_BYTES = 16 * 1024;

/** Limit on the stored answer bodies of one partition, in total. */
export const PARTITION_LIMIT_BYTES = 128 * 1024;

/** An answer as it was sent to the caller. */
export interface StoredAnswer {
  readonly status: number;
  /** Alternating names and values of the headers. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Result of running a request with an idempotency key. */
export type ExecutionResult =
  | {readonly kind: 'running'}
  /** The request was run; the answer is absent if it is too long to store. */
  | {readonly kind: 'answered'; readonly answer?: StoredAnswer}
  /** The request may have been run. */
  | {readonly kind: 'unknown'};

/** One stored request. */
export interface ReplayEntry {
  /**
   * Method, target and body length, to tell a duplicate from a different
   * request.
   */
  readonly subject: string;
  readonly result: ExecutionResult;
  /** Time of the last change, in milliseconds. */
  readonly changedAt: number;
}

/** Stored requests by identifier, least recently changed first. */
interface Partition {
  readonly entries: ReadonlyMap<string, ReplayEntry>;
  /** Total bytes of the stored answer bodies. */
  readonly bytes: number;
}

/** The stored requests, partitioned by a hash of their identifier. */
export interface ReplayWindow {
  readonly partitions: readonly Partition[];
}

const EMPTY_PARTITION: Partition = {entries: new Map(), bytes: 0};

/** The window before the first request. */
export const EMPTY_REPLAY_WINDOW: ReplayWindow = {
  partitions: Array.from({length: PARTITION_COUNT}, () => EMPTY_PARTITION),
};

/** A change in the state of a request with an idempotency key. */
export type ReplayEvent =
  | {readonly kind: 'begin'; readonly id: string; readonly subject: string}
  /** The request was certainly not run. */
  | {readonly kind: 'forget'; readonly id: string}
  | {
      readonly kind: 'end';
      readonly id: string;
      readonly result: ExecutionResult;
    };

/**
 * Applies an event to the window. Evicts ended requests, oldest first, that are
 * expired or exceed the limits of the partition; running requests are never
 * evicted.
 *
 * @param now Time of the event in milliseconds.
 *
 * @example
 * const window = applyReplay(EMPTY_REPLAY_WINDOW, {kind: 'begin', id, subject}, now);
 */
export function applyReplay(
  window: ReplayWindow,
  event: ReplayEvent,
  now: number,
): ReplayWindow {
  const index = partitionOf(event.id);
  const partition = applyToPartition(window.partitions[index], event, now);
  return {partitions: window.partitions.with(index, partition)};
}

function partitionOf(id: string): number {
  return hashText(id) % PARTITION_COUNT;
}

function applyToPartition(
  partition: Partition,
  event: ReplayEvent,
  now: number,
): Partition {
  const entries = new Map(partition.entries);
  const before = entries.get(event.id);
  const after = nextEntry(before, event, now);
  entries.delete(event.id);
  if (after) entries.set(event.id, after);
  return evict(
    entries,
    partition.bytes - bytesOf(before) + bytesOf(after),
    now,
  );
}

function nextEntry(
  before: ReplayEntry | undefined,
  event: ReplayEvent,
  now: number,
): ReplayEntry | undefined {
  switch (event.kind) {
    case 'begin':
      return {
        subject: event.subject,
        result: {kind: 'running'},
        changedAt: now,
      };
    case 'forget':
      return undefined;
    case 'end':
      return (
        before && {
          subject: before.subject,
          result: event.result,
          changedAt: now,
        }
      );
  }
}

function evict(
  entries: Map<string, ReplayEntry>,
  bytes: number,
  now: number,
): Partition {
  let remainingBytes = bytes;
  for (const [id, entry] of entries) {
    const isExpired = now - entry.changedAt > REPLAY_WINDOW_MS;
    const hasTooManyEntries = entries.size > PARTITION_ENTRY_LIMIT;
    const hasTooManyBytes = remainingBytes > PARTITION_LIMIT_BYTES;
    if (!isExpired && !hasTooManyEntries && !hasTooManyBytes) break;
    if (entry.result.kind === 'running') continue;
    entries.delete(id);
    remainingBytes -= bytesOf(entry);
  }
  return {entries, bytes: remainingBytes};
}

function bytesOf(entry: ReplayEntry | undefined): number {
  if (entry?.result.kind !== 'answered') return 0;
  return entry.result.answer?.body.length ?? 0;
}

/** Decision on an arriving request with an idempotency key. */
export type ReplayDecision =
  | {readonly kind: 'run'}
  /** The first request is still running; decide again when it has ended. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'repeat'; readonly answer: StoredAnswer}
  /**
   * The first request was run or may have been run, and its answer is not
   * stored.
   */
  | {readonly kind: 'ended'}
  /** The idempotency key was used for a different request. */
  | {readonly kind: 'mismatch'};

/**
 * Decides how to handle an arriving request with an idempotency key.
 *
 * @param now Time of the arrival in milliseconds.
 *
 * @example
 * decideReplay(EMPTY_REPLAY_WINDOW, 'rota\nnight-desk\nk1', 'POST /rota', now).kind; // 'run'
 */
export function decideReplay(
  window: ReplayWindow,
  id: string,
  subject: string,
  now: number,
): ReplayDecision {
  const entry = window.partitions[partitionOf(id)].entries.get(id);
  if (!entry) return {kind: 'run'};
  const {result} = entry;
  if (result.kind !== 'running' && now - entry.changedAt > REPLAY_WINDOW_MS) {
    return {kind: 'run'};
  }
  if (entry.subject !== subject) return {kind: 'mismatch'};
  if (result.kind === 'running') return {kind: 'wait'};
  if (result.kind === 'answered' && result.answer) {
    return {kind: 'repeat', answer: result.answer};
  }
  return {kind: 'ended'};
}
