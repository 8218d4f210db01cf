import {hashText} from '../model/index.js';

/** Time for which a request with an idempotency key is remembered. */
export const REPLAY_WINDOW_MS = 10 * 60 * 1000;

/** Parts of the window; a change copies one part. */
const PARTITION_COUNT = 16;

/** Most requests with an idempotency key that are remembered in one part. */
export const PARTITION_ENTRY_LIMIT = 256;

/** Longest answer that is kept for a repeat, in bytes of its body. */
export const REPLAY_ANSWER_LIMIT_BYTES = 16 * 1024;

/** Most bytes of answers that are kept for repeats in one part. */
export const PARTITION_LIMIT_BYTES = 128 * 1024;

/** An answer as it was passed on. */
export interface StoredAnswer {
  readonly status: number;
  /** Name and value of each header in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What became of a request with an idempotency key. */
export type ExecutionResult =
  | {readonly kind: 'running'}
  /** Executed; the answer is absent if it was too long to keep. */
  | {readonly kind: 'answered'; readonly answer?: StoredAnswer}
  /** It may have been executed. */
  | {readonly kind: 'unknown'};

/** One remembered request. */
export interface ReplayEntry {
  /** Method and target, to tell a repeat from another request. */
  readonly subject: string;
  readonly result: ExecutionResult;
  /** Time of the last change, in milliseconds. */
  readonly changedAt: number;
}

/** Remembered requests by identifier, the oldest first. */
interface Partition {
  readonly entries: ReadonlyMap<string, ReplayEntry>;
  /** Bytes of all kept answers. */
  readonly bytes: number;
}

/** The remembered requests, spread over the parts by their identifier. */
export interface ReplayWindow {
  readonly partitions: readonly Partition[];
}

const EMPTY_PARTITION: Partition = {entries: new Map(), bytes: 0};

/** The window before the first request. */
export const EMPTY_REPLAY_WINDOW: ReplayWindow = {
  partitions: Array.from({length: PARTITION_COUNT}, () => EMPTY_PARTITION),
};

/** What happens to a request with an idempotency key. */
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
 * Applies an event to the window. Requests that ended are dropped, the oldest
 * first, when they are too old, too many, or their answers too long together;
 * those still running are kept.
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
  return {entries: entries, bytes: remainingBytes};
}

function bytesOf(entry: ReplayEntry | undefined): number {
  if (entry?.result.kind !== 'answered') return 0;
  return entry.result.answer?.body.length ?? 0;
}

/** What to do with an arriving request that carries an idempotency key. */
export type ReplayDecision =
  | {readonly kind: 'run'}
  /** The first request still runs; look again when it has ended. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'repeat'; readonly answer: StoredAnswer}
  /** It was run, or may have been, and its answer is not known any more. */
  | {readonly kind: 'ended'}
  /** The key was used for another request. */
  | {readonly kind: 'mismatch'};

/**
 * Decides what to do with an arriving request that carries an idempotency key.
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
  const {result: result} = entry;
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
