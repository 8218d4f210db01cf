import {notRun, unknownOutcome} from '../model/index.js';
import {writeReplayedAnswer} from './replayed-answer.js';
import type {Attempt} from './attempt.js';
import {finalFailure} from './attempt.js';
import type {Context} from './context.js';
import {sendLocal, type AnswerSink} from './local.js';
import {untilStopped, type ActiveRequest} from './active-request.js';
import {
  EMPTY_REPLAY_WINDOW,
  REPLAY_ANSWER_LIMIT_BYTES,
  applyReplay,
  decideReplay,
  type ExecutionResult,
  type StoredAnswer,
  type ReplayEvent,
  type ReplayDecision,
} from './replay.js';
import {isIdempotent} from './retry.js';

/**
 * Requests with an idempotency key that this process is running, and those that
 * it ran or may have run within the replay window, unless evicted.
 */
export interface IdempotencyStore {
  /**
   * Decides how to handle an arriving request. `id` combines service, key and
   * idempotency key; `subject` (method, target and body length) detects reuse
   * of the idempotency key for a different request.
   */
  readonly decide: (id: string, subject: string) => ReplayDecision;
  /** Records an event of a request. */
  readonly apply: (event: ReplayEvent) => void;
  /**
   * Resolves when the running request with this id ends or is forgotten. Call
   * it only while the request is running; otherwise it may never resolve.
   */
  readonly untilEnded: (id: string) => Promise<void>;
}

/**
 * Creates an empty store of requests with an idempotency key.
 *
 * @param clock Returns a monotonic time in milliseconds.
 *
 * @example
 * const idempotency = createIdempotencyStore(() => performance.now());
 */
export function createIdempotencyStore(clock: () => number): IdempotencyStore {
  let window = EMPTY_REPLAY_WINDOW;
  const listeners = new Map<string, (() => void)[]>();
  return {
    decide: (id, subject) => decideReplay(window, id, subject, clock()),
    apply: event => {
      window = applyReplay(window, event, clock());
      if (event.kind === 'begin') return;
      const waiters = listeners.get(event.id) ?? [];
      listeners.delete(event.id);
      for (const notify of waiters) notify();
    },
    untilEnded: id =>
      new Promise(resolve => {
        const waiters = listeners.get(id);
        if (waiters) waiters.push(resolve);
        else listeners.set(id, [resolve]);
      }),
  };
}

/**
 * Returns whether duplicates of a request are detected: it needs an idempotency
 * key, a slice and a method that is not idempotent.
 *
 * @example
 * if (needsDeduplication(active)) return sendOnce(context, active, epoch);
 */
export function needsDeduplication(active: ActiveRequest): boolean {
  if (active.head.idempotencyKey === undefined || active.slice < 0)
    return false;
  return !isIdempotent(active.request.method ?? 'GET');
}

/**
 * Sends a request with an idempotency key to the upstream of this daemon,
 * unless an earlier one with the same key that ran or may have run within the
 * replay window is stored. A duplicate waits while the earlier request is
 * running. It then gets the answer of that request, or a failure if the answer
 * is not stored; it is sent if the earlier request was certainly not run. Reuse
 * of an idempotency key for a different request fails.
 *
 * @example
 * const attempt = await sendOnce(context, active, route.epoch);
 */
export async function sendOnce(
  context: Context,
  active: ActiveRequest,
  epoch: number,
): Promise<Attempt> {
  const {idempotency} = context;
  const id = `${active.service.name}\n${active.key}\n${active.head.idempotencyKey}`;
  const length = active.head.contentLength ?? '';
  const subject = `${active.request.method} ${active.target} ${length}`;
  for (;;) {
    if (active.state.stopReason) return finalFailure(active.state.stopReason);
    const decision = idempotency.decide(id, subject);
    switch (decision.kind) {
      case 'run':
        return sendFirst(context, active, epoch, id, subject);
      case 'wait':
        await untilStopped(active, idempotency.untilEnded(id));
        break;
      case 'repeat':
        return replayAnswer(active, decision.answer);
      case 'ended':
        return finalFailure(answerUnavailable());
      case 'mismatch':
        return finalFailure(keyReused());
    }
  }
}

async function sendFirst(
  context: Context,
  active: ActiveRequest,
  epoch: number,
  id: string,
  subject: string,
): Promise<Attempt> {
  const {idempotency} = context;
  const buffer = createAnswerBuffer();
  idempotency.apply({kind: 'begin', id, subject});
  let result: ExecutionResult | undefined = {kind: 'unknown'};
  try {
    const attempt = await sendLocal(context, active, epoch, buffer);
    result = resultOf(attempt, buffer.answer());
    return attempt;
  } finally {
    idempotency.apply(
      result ? {kind: 'end', id, result} : {kind: 'forget', id},
    );
  }
}

function resultOf(
  attempt: Attempt,
  answer: StoredAnswer | undefined,
): ExecutionResult | undefined {
  if (attempt.kind === 'answered') return {kind: 'answered', answer};
  if (attempt.kind === 'broken') return {kind: 'unknown'};
  const {outcome} = attempt.failure;
  return outcome === 'not-run' ? undefined : {kind: 'unknown'};
}

interface AnswerBuffer extends AnswerSink {
  /** Returns the copied answer, or undefined if it is too long to store. */
  readonly answer: () => StoredAnswer | undefined;
}

function createAnswerBuffer(): AnswerBuffer {
  let status = 0;
  let headers: readonly string[] = [];
  let bytes = 0;
  const parts: Buffer[] = [];
  return {
    head: head => {
      status = head.status;
      headers = head.headers.slice();
    },
    body: part => {
      bytes += part.length;
      if (bytes <= REPLAY_ANSWER_LIMIT_BYTES) parts.push(Buffer.from(part));
    },
    answer: () => {
      if (bytes > REPLAY_ANSWER_LIMIT_BYTES) return undefined;
      return {status, headers, body: Buffer.concat(parts)};
    },
  };
}

function replayAnswer(active: ActiveRequest, answer: StoredAnswer): Attempt {
  writeReplayedAnswer(active, answer);
  return {kind: 'answered', status: answer.status};
}

const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;

function answerUnavailable() {
  const message =
    'a request with this idempotency key was run or may have been run, ' +
    'and its answer is not stored';
  return {
    ...unknownOutcome('upstream-reset', message),
    status: STATUS_CONFLICT,
  };
}

function keyReused() {
  const message = 'idempotency key was already used for a different request';
  return {...notRun('bad-request', message), status: STATUS_UNPROCESSABLE};
}
