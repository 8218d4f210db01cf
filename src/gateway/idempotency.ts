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

/** The requests with an idempotency key that this process has seen. */
export interface IdempotencyStore {
  readonly decide: (id: string, subject: string) => ReplayDecision;
  readonly apply: (event: ReplayEvent) => void;
  /** Resolves when the request is no longer running. */
  readonly untilEnded: (id: string) => Promise<void>;
}

/**
 * Creates the memory of requests with an idempotency key, empty at first.
 *
 * @param clock Returns a monotonic time in milliseconds.
 *
 * @example
 * const repeats = createRepeats(() => performance.now());
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
 * Tells whether a request is to be recognised when its caller repeats it: one
 * with an idempotency key and a method that is not idempotent by itself.
 *
 * @example
 * if (isRepeatable(pass)) return sendOnce(context, pass, epoch);
 */
export function needsDeduplication(active: ActiveRequest): boolean {
  if (active.head.idempotencyKey === undefined || active.slice < 0)
    return false;
  return !isIdempotent(active.request.method ?? 'GET');
}

/**
 * Sends a request with an idempotency key to the upstream beside this daemon,
 * unless it was sent before within the replay window: then the first one's
 * answer is given.
 *
 * @example
 * const attempt = await sendOnce(context, pass, route.epoch);
 */
export async function sendOnce(
  context: Context,
  active: ActiveRequest,
  epoch: number,
): Promise<Attempt> {
  const {idempotency: idempotency} = context;
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
  const {idempotency: idempotency} = context;
  const buffer = createAnswerBuffer();
  idempotency.apply({kind: 'begin', id, subject});
  let fate: ExecutionResult | undefined = {kind: 'unknown'};
  try {
    const attempt = await sendLocal(context, active, epoch, buffer);
    fate = resultOf(attempt, buffer.answer());
    return attempt;
  } finally {
    idempotency.apply(
      fate ? {kind: 'end', id, result: fate} : {kind: 'forget', id},
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
  /** The answer as copied, or undefined if it was too long to keep. */
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
    'a request with this idempotency key was run or may have been, ' +
    'and its answer is not known any more';
  return {
    ...unknownOutcome('upstream-reset', message),
    status: STATUS_CONFLICT,
  };
}

function keyReused() {
  const message = 'the idempotency key was used for another request';
  return {...notRun('bad-request', message), status: STATUS_UNPROCESSABLE};
}
