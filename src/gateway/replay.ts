import {hashText} from '../model/index.js';

/** Time for which a request with an idempotency key is remembered. */
export const REPLAY_WINDOW_MS = 10 * 60 * 1000;

/** Parts of the window; a change copies one part. */
const PARTS = 16;

/** Most requests with an idempotency key that are remembered in one part. */
export const REPLAY_PART_LIMIT = 256;

/** Longest answer that is kept for a repeat, in bytes of its body. */
export const REPLAY_ANSWER_LIMIT_BYTES = 16 * 1024;

/** Most bytes of answers that are kept for repeats in one part. */
export const REPLAY_PART_LIMIT_BYTES = 128 * 1024;

/** An answer as it was passed on. */
export interface KeptAnswer {
  readonly status: number;
  /** Name and value of each header in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What became of a request with an idempotency key. */
export type Fate =
  | {readonly kind: 'running'}
  /** Executed; the answer is absent if it was too long to keep. */
  | {readonly kind: 'answered'; readonly answer?: KeptAnswer}
  /** It may have been executed. */
  | {readonly kind: 'unknown'};

/** One remembered request. */
export interface Remembered {
  /** Method and target, to tell a repeat from another request. */
  readonly subject: string;
  readonly fate: Fate;
  /** Time of the last change, in milliseconds. */
  readonly at: number;
}

/** Remembered requests by identifier, the oldest first. */
interface Part {
  readonly requests: ReadonlyMap<string, Remembered>;
  /** Bytes of all kept answers. */
  readonly bytes: number;
}

/** The remembered requests, spread over the parts by their identifier. */
export interface ReplayWindow {
  readonly parts: readonly Part[];
}

const EMPTY_PART: Part = {requests: new Map(), bytes: 0};

/** The window before the first request. */
export const EMPTY_REPLAY_WINDOW: ReplayWindow = {
  parts: Array.from({length: PARTS}, () => EMPTY_PART),
};

/** What happens to a request with an idempotency key. */
export type ReplayEvent =
  | {readonly kind: 'begin'; readonly id: string; readonly subject: string}
  /** The request was certainly not run. */
  | {readonly kind: 'forget'; readonly id: string}
  | {readonly kind: 'end'; readonly id: string; readonly fate: Fate};

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
  const index = partOf(event.id);
  const part = applyToPart(window.parts[index], event, now);
  return {parts: window.parts.with(index, part)};
}

function partOf(id: string): number {
  return hashText(id) % PARTS;
}

function applyToPart(part: Part, event: ReplayEvent, now: number): Part {
  const requests = new Map(part.requests);
  const before = requests.get(event.id);
  const after = remember(before, event, now);
  requests.delete(event.id);
  if (after) requests.set(event.id, after);
  return evict(requests, part.bytes - bytesOf(before) + bytesOf(after), now);
}

function remember(
  before: Remembered | undefined,
  event: ReplayEvent,
  now: number,
): Remembered | undefined {
  switch (event.kind) {
    case 'begin':
      return {subject: event.subject, fate: {kind: 'running'}, at: now};
    case 'forget':
      return undefined;
    case 'end':
      return before && {subject: before.subject, fate: event.fate, at: now};
  }
}

function evict(
  requests: Map<string, Remembered>,
  bytes: number,
  now: number,
): Part {
  let left = bytes;
  for (const [id, entry] of requests) {
    const old = now - entry.at > REPLAY_WINDOW_MS;
    const many = requests.size > REPLAY_PART_LIMIT;
    const long = left > REPLAY_PART_LIMIT_BYTES;
    if (!old && !many && !long) break;
    if (entry.fate.kind === 'running') continue;
    requests.delete(id);
    left -= bytesOf(entry);
  }
  return {requests, bytes: left};
}

function bytesOf(entry: Remembered | undefined): number {
  if (entry?.fate.kind !== 'answered') return 0;
  return entry.fate.answer?.body.length ?? 0;
}

/** What to do with an arriving request that carries an idempotency key. */
export type ReplayVerdict =
  | {readonly kind: 'run'}
  /** The first request still runs; look again when it has ended. */
  | {readonly kind: 'wait'}
  | {readonly kind: 'repeat'; readonly answer: KeptAnswer}
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
): ReplayVerdict {
  const entry = window.parts[partOf(id)].requests.get(id);
  if (!entry) return {kind: 'run'};
  const {fate} = entry;
  if (fate.kind !== 'running' && now - entry.at > REPLAY_WINDOW_MS) {
    return {kind: 'run'};
  }
  if (entry.subject !== subject) return {kind: 'mismatch'};
  if (fate.kind === 'running') return {kind: 'wait'};
  if (fate.kind === 'answered' && fate.answer) {
    return {kind: 'repeat', answer: fate.answer};
  }
  return {kind: 'ended'};
}
