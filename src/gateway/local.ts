import {notRun, unknownOutcome} from '../model/index.js';
import {
  parseStatement,
  type ResponseHead,
  type Upstream,
} from '../upstream/index.js';
import type {Admitted} from './admission.js';
import {failed, runExchange, type Attempt, type FailedTry} from './attempt.js';
import type {Context} from './context.js';
import {admissionOf, bodyOf, type Pass} from './pass.js';
import {isSafe} from './retry.js';

/** Header that tells callers the address of the owner's daemon. */
export const OWNER_HEADER = 'vanillaspool-owner';

/** Header that carries the identifier of a request. */
export const REQUEST_HEADER = 'vanillaspool-request';

/** Header that carries an epoch of the slice of a request. */
export const EPOCH_HEADER = 'vanillaspool-epoch';

/** Headers in which an upstream says something of itself. */
const STATEMENT_HEADERS = {
  limit: 'vanillaspool-limit',
  leaving: 'vanillaspool-leaving',
};

/** Takes a copy of an answer while it is passed on. */
export interface AnswerCopy {
  readonly head: (head: ResponseHead) => void;
  readonly body: (part: Buffer) => void;
}

const DEFAULT_SHED_MS = 1000;
const FENCED_PAUSE_MS = 50;
const MS_PER_SECOND = 1000;

/**
 * Sends a request to the upstream beside this daemon, once it is admitted.
 *
 * @param epoch Epoch of the term under which this daemon owns the slice; 0 for
 *     a service without keys.
 *
 * @example
 * const attempt = await sendLocal(context, pass, route.epoch);
 */
export function sendLocal(
  context: Context,
  pass: Pass,
  epoch: number,
  copy?: AnswerCopy,
): Promise<Attempt> | Attempt {
  const admitted = context.admit(admissionOf(pass));
  if (!(admitted instanceof Promise)) {
    return sendIfAdmitted(context, pass, epoch, admitted, copy);
  }
  return admitted.then(result =>
    sendIfAdmitted(context, pass, epoch, result, copy),
  );
}

function sendIfAdmitted(
  context: Context,
  pass: Pass,
  epoch: number,
  admitted: Admitted,
  copy: AnswerCopy | undefined,
): Promise<Attempt> | Attempt {
  const {service, slice, state} = pass;
  if (admitted.kind === 'refused') {
    const {reason, retryAfterMs} = admitted;
    return refused(pass, notRun(reason, 'no slot is free', retryAfterMs));
  }
  const {release} = admitted;
  const upstream = context.upstream();
  if (state.stopped) {
    release();
    return failed(state.stopped);
  }
  if (!upstream || upstream.service !== service.name) {
    release();
    return refused(pass, notRun('upstream-refused', 'no upstream is ready'));
  }
  const leave =
    slice < 0 ? release : context.ownership.trackRequest(service.name, slice);
  return sendTo(context, pass, upstream, epoch, copy, () => {
    leave();
    if (slice >= 0) release();
  });
}

function refused(pass: Pass, failure: FailedTry['failure']): FailedTry {
  const alternative = pass.key === undefined && !pass.hop;
  return {kind: 'failed', failure, alternative};
}

function sendTo(
  context: Context,
  pass: Pass,
  upstream: Upstream,
  epoch: number,
  copy: AnswerCopy | undefined,
  ended: () => void,
): Promise<Attempt> {
  const {service, slice, request} = pass;
  const {ownership} = context;
  const pool = context.upstreamPools.get(
    upstream.address,
    upstream.connections,
  );
  const span = context.trace.start('upstream', pass.span.traceparent, {epoch});
  const call = {
    method: request.method ?? 'GET',
    path: pass.target,
    headers: upstreamHeaders(context, pass, epoch, span.traceparent),
    body: bodyOf(pass),
  };
  const holds = () =>
    slice < 0 || ownership.holdsTerm(service.name, slice, epoch);
  let lapsed = false;
  let sentAt = context.clock();
  return runExchange(pass, pool, call, {
    ready: () => {
      sentAt = context.clock();
      lapsed = !holds();
      return !lapsed;
    },
    judge: head => judge(context, pass, head, holds, sentAt),
    extend: head => {
      addOwner(context, pass, head);
      copy?.head(head);
    },
    copied: copy?.body,
    unsent: error => (lapsed ? termLapsed() : unreachable(pass, error)),
    ended: () => {
      span.end();
      ended();
    },
  });
}

function upstreamHeaders(
  context: Context,
  pass: Pass,
  epoch: number,
  traceparent: string,
): string[] {
  const {head, slice, deadlineAt} = pass;
  const left = Math.max(1, Math.floor(deadlineAt - context.clock()));
  const headers = head.headers.slice();
  headers.push('traceparent', traceparent);
  headers.push('vanillaspool-deadline', String(left));
  headers.push(REQUEST_HEADER, pass.id);
  if (slice >= 0) {
    headers.push('vanillaspool-slice', String(slice));
    headers.push(EPOCH_HEADER, String(epoch));
  }
  return headers;
}

function addOwner(context: Context, pass: Pass, head: ResponseHead): void {
  if (pass.slice >= 0) head.headers.push(OWNER_HEADER, context.ownerHint);
  if (pass.hop) head.headers.push(REQUEST_HEADER, pass.id);
}

/**
 * Judges the head of the upstream's answer. For an upstream that does not fence,
 * a term that has lapsed by now leaves open whether the request was executed
 * within it, so the answer is not passed on.
 */
function judge(
  context: Context,
  pass: Pass,
  head: ResponseHead,
  holds: () => boolean,
  sentAt: number,
): FailedTry | undefined {
  const {ownHeaders: own, status} = head;
  const echoed = own.get(REQUEST_HEADER);
  if (echoed !== undefined && echoed !== pass.id) {
    return failed(
      unknownOutcome('upstream-reset', 'answer to another request'),
    );
  }
  const isFenced = status === 409 && own.get('vanillaspool-fenced') === 'true';
  const isShed = status === 503 && own.get('vanillaspool-shed') === 'true';
  const statement = parseStatement(own, STATEMENT_HEADERS);
  context.stated?.({statement, sentAt, ran: !isFenced && !isShed});
  if (isFenced) return fenced();
  if (isShed) return shed(context, pass, head.retryAfter);
  const {fencing} = pass.service;
  if (fencing === 'ignored' && !holds()) {
    return answerTooLate(pass);
  }
  return undefined;
}

function shed(
  context: Context,
  pass: Pass,
  retryAfter: string | undefined,
): FailedTry {
  const seconds = Number(retryAfter);
  const stated = retryAfter !== undefined && seconds >= 0;
  const retryAfterMs = stated ? seconds * MS_PER_SECOND : DEFAULT_SHED_MS;
  context.shed?.(pass.service.name, retryAfterMs);
  const failure = notRun('overloaded', 'the upstream sheds load', retryAfterMs);
  return refused(pass, failure);
}

function answerTooLate(pass: Pass): FailedTry {
  const message = 'the term lapsed before the answer';
  const failure = unknownOutcome('lease-lost', message);
  return {
    kind: 'failed',
    failure,
    alternative: isSafe(pass.request.method ?? 'GET'),
  };
}

function termLapsed(): FailedTry {
  const failure = notRun('lease-lost', 'the term has ended');
  return {kind: 'failed', failure, alternative: true, free: true};
}

function fenced(): FailedTry {
  const failure = notRun('lease-lost', 'the upstream refused the epoch');
  return {
    kind: 'failed',
    failure,
    alternative: true,
    pauseMs: FENCED_PAUSE_MS,
  };
}

function unreachable(pass: Pass, error: Error): FailedTry {
  const message = `the upstream was not reached: ${error.message}`;
  return refused(pass, notRun('upstream-refused', message));
}
