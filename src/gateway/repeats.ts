import {notRun, unknownOutcome} from '../model/index.js';
import {writeAnswer} from './answered.js';
import type {Attempt} from './attempt.js';
import {failed} from './attempt.js';
import type {Context} from './context.js';
import {sendLocal, type AnswerCopy} from './local.js';
import {untilStopped, type Pass} from './pass.js';
import {
  EMPTY_REPLAY_WINDOW,
  REPLAY_ANSWER_LIMIT_BYTES,
  applyReplay,
  decideReplay,
  type Fate,
  type KeptAnswer,
  type ReplayEvent,
  type ReplayVerdict,
} from './replay.js';
import {isIdempotent} from './retry.js';

/** The requests with an idempotency key that this process has seen. */
export interface Repeats {
  readonly decide: (id: string, subject: string) => ReplayVerdict;
  readonly apply: (event: ReplayEvent) => void;
  /** Resolves when the request is no longer running. */
  readonly ended: (id: string) => Promise<void>;
}

/**
 * Creates the memory of requests with an idempotency key, empty at first.
 *
 * @param clock Returns a monotonic time in milliseconds.
 *
 * @example
 * const repeats = createRepeats(() => performance.now());
 */
export function createRepeats(clock: () => number): Repeats {
  let window = EMPTY_REPLAY_WINDOW;
  const waiting = new Map<string, (() => void)[]>();
  return {
    decide: (id, subject) => decideReplay(window, id, subject, clock()),
    apply: event => {
      window = applyReplay(window, event, clock());
      if (event.kind === 'begin') return;
      const waiters = waiting.get(event.id) ?? [];
      waiting.delete(event.id);
      for (const wake of waiters) wake();
    },
    ended: id =>
      new Promise(resolve => {
        const waiters = waiting.get(id);
        if (waiters) waiters.push(resolve);
        else waiting.set(id, [resolve]);
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
export function isRepeatable(pass: Pass): boolean {
  if (pass.head.idempotencyKey === undefined || pass.slice < 0) return false;
  return !isIdempotent(pass.request.method ?? 'GET');
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
  pass: Pass,
  epoch: number,
): Promise<Attempt> {
  const {repeats} = context;
  const id = `${pass.service.name}\n${pass.key}\n${pass.head.idempotencyKey}`;
  const length = pass.head.contentLength ?? '';
  const subject = `${pass.request.method} ${pass.target} ${length}`;
  for (;;) {
    if (pass.state.stopped) return failed(pass.state.stopped);
    const verdict = repeats.decide(id, subject);
    switch (verdict.kind) {
      case 'run':
        return sendFirst(context, pass, epoch, id, subject);
      case 'wait':
        await untilStopped(pass, repeats.ended(id));
        break;
      case 'repeat':
        return repeatAnswer(pass, verdict.answer);
      case 'ended':
        return failed(earlierUnknown());
      case 'mismatch':
        return failed(otherRequest());
    }
  }
}

async function sendFirst(
  context: Context,
  pass: Pass,
  epoch: number,
  id: string,
  subject: string,
): Promise<Attempt> {
  const {repeats} = context;
  const copy = createCopy();
  repeats.apply({kind: 'begin', id, subject});
  let fate: Fate | undefined = {kind: 'unknown'};
  try {
    const attempt = await sendLocal(context, pass, epoch, copy);
    fate = fateOf(attempt, copy.taken());
    return attempt;
  } finally {
    repeats.apply(fate ? {kind: 'end', id, fate} : {kind: 'forget', id});
  }
}

function fateOf(
  attempt: Attempt,
  answer: KeptAnswer | undefined,
): Fate | undefined {
  if (attempt.kind === 'answered') return {kind: 'answered', answer};
  if (attempt.kind === 'broken') return {kind: 'unknown'};
  const {outcome} = attempt.failure;
  return outcome === 'not-run' ? undefined : {kind: 'unknown'};
}

interface Copying extends AnswerCopy {
  /** The answer as copied, or undefined if it was too long to keep. */
  readonly taken: () => KeptAnswer | undefined;
}

function createCopy(): Copying {
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
    taken: () => {
      if (bytes > REPLAY_ANSWER_LIMIT_BYTES) return undefined;
      return {status, headers, body: Buffer.concat(parts)};
    },
  };
}

function repeatAnswer(pass: Pass, answer: KeptAnswer): Attempt {
  writeAnswer(pass, answer);
  return {kind: 'answered', status: answer.status};
}

const CONFLICT = 409;
const UNPROCESSABLE = 422;

function earlierUnknown() {
  const message =
    'a request with this idempotency key was run or may have been, ' +
    'and its answer is not known any more';
  return {...unknownOutcome('upstream-reset', message), status: CONFLICT};
}

function otherRequest() {
  const message = 'the idempotency key was used for another request';
  return {...notRun('bad-request', message), status: UNPROCESSABLE};
}
