import {notRun, unknownOutcome} from '../model/index.js';
import {
  parseStatement,
  type ResponseHead,
  type Upstream,
} from '../upstream/index.js';
import type {AdmissionDecision} from './admission.js';
import {
  finalFailure,
  runExchange,
  type Attempt,
  type AttemptFailure,
} from './attempt.js';
import type {Context} from './context.js';
import {admissionOf, bodyOf, type ActiveRequest} from './active-request.js';
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
export interface AnswerSink {
  readonly head: (head: ResponseHead) => void;
  readonly body: (part: Buffer) => void;
}

const DEFAULT_RETRY_AFTER_MS = 1000;
const FENCED_BACKOFF_MS = 50;
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
  active: ActiveRequest,
  epoch: number,
  sink?: AnswerSink,
): Promise<Attempt> | Attempt {
  const admitted = context.admit(admissionOf(active));
  if (!(admitted instanceof Promise)) {
    return sendIfAdmitted(context, active, epoch, admitted, sink);
  }
  return admitted.then(result =>
    sendIfAdmitted(context, active, epoch, result, sink),
  );
}

function sendIfAdmitted(
  context: Context,
  active: ActiveRequest,
  epoch: number,
  admitted: AdmissionDecision,
  sink: AnswerSink | undefined,
): Promise<Attempt> | Attempt {
  const {service, slice, state} = active;
  if (admitted.kind === 'refused') {
    const {reason, retryAfterMs} = admitted;
    return localFailure(
      active,
      notRun(reason, 'no slot is free', retryAfterMs),
    );
  }
  const {release} = admitted;
  const upstream = context.upstream();
  if (state.stopReason) {
    release();
    return finalFailure(state.stopReason);
  }
  if (!upstream || upstream.service !== service.name) {
    release();
    return localFailure(
      active,
      notRun('upstream-refused', 'no upstream is ready'),
    );
  }
  const leaveSlice =
    slice < 0 ? release : context.ownership.trackRequest(service.name, slice);
  return sendToUpstream(context, active, upstream, epoch, sink, () => {
    leaveSlice();
    if (slice >= 0) release();
  });
}

function localFailure(
  active: ActiveRequest,
  failure: AttemptFailure['failure'],
): AttemptFailure {
  const hasAlternative = active.key === undefined && !active.hop;
  return {kind: 'failed', failure, hasAlternative: hasAlternative};
}

function sendToUpstream(
  context: Context,
  active: ActiveRequest,
  upstream: Upstream,
  epoch: number,
  sink: AnswerSink | undefined,
  onEnd: () => void,
): Promise<Attempt> {
  const {service, slice, request} = active;
  const {ownership} = context;
  const pool = context.upstreamPools.get(
    upstream.address,
    upstream.connections,
  );
  const span = context.trace.start('upstream', active.span.traceparent, {
    epoch,
  });
  const call = {
    method: request.method ?? 'GET',
    path: active.target,
    headers: upstreamHeaders(context, active, epoch, span.traceparent),
    body: bodyOf(active),
  };
  const holds = () =>
    slice < 0 || ownership.holdsTerm(service.name, slice, epoch);
  let hasLapsed = false;
  let sentAt = context.clock();
  return runExchange(active, pool, call, {
    canSend: () => {
      sentAt = context.clock();
      hasLapsed = !holds();
      return !hasLapsed;
    },
    classify: head => classifyAnswer(context, active, head, holds, sentAt),
    addHeaders: head => {
      addOwnHeaders(context, active, head);
      sink?.head(head);
    },
    onBodyPart: sink?.body,
    classifyUnsent: error =>
      hasLapsed ? lapsedBeforeSend() : unreachableFailure(active, error),
    onEnd: () => {
      span.end();
      onEnd();
    },
  });
}

function upstreamHeaders(
  context: Context,
  active: ActiveRequest,
  epoch: number,
  traceparent: string,
): string[] {
  const {head, slice, deadlineAt} = active;
  const remainingMs = Math.max(1, Math.floor(deadlineAt - context.clock()));
  const headers = head.headers.slice();
  headers.push('traceparent', traceparent);
  headers.push('vanillaspool-deadline', String(remainingMs));
  headers.push(REQUEST_HEADER, active.id);
  if (slice >= 0) {
    headers.push('vanillaspool-slice', String(slice));
    headers.push(EPOCH_HEADER, String(epoch));
  }
  return headers;
}

function addOwnHeaders(
  context: Context,
  active: ActiveRequest,
  head: ResponseHead,
): void {
  if (active.slice >= 0) head.headers.push(OWNER_HEADER, context.ownerAddress);
  if (active.hop) head.headers.push(REQUEST_HEADER, active.id);
}

/**
 * Judges the head of the upstream's answer. For an upstream that does not fence,
 * a term that has lapsed by now leaves open whether the request was executed
 * within it, so the answer is not passed on.
 */
function classifyAnswer(
  context: Context,
  active: ActiveRequest,
  head: ResponseHead,
  holds: () => boolean,
  sentAt: number,
): AttemptFailure | undefined {
  const {ownHeaders: own, status} = head;
  const echoed = own.get(REQUEST_HEADER);
  if (echoed !== undefined && echoed !== active.id) {
    return finalFailure(
      unknownOutcome('upstream-reset', 'answer to another request'),
    );
  }
  const isFenced = status === 409 && own.get('vanillaspool-fenced') === 'true';
  const isShed = status === 503 && own.get('vanillaspool-shed') === 'true';
  const statement = parseStatement(own, STATEMENT_HEADERS);
  context.onStatement?.({statement, sentAt, ran: !isFenced && !isShed});
  if (isFenced) return fencedFailure();
  if (isShed) return shedFailure(context, active, head.retryAfter);
  const {fencing} = active.service;
  if (fencing === 'ignored' && !holds()) {
    return lapsedBeforeAnswer(active);
  }
  return undefined;
}

function shedFailure(
  context: Context,
  active: ActiveRequest,
  retryAfter: string | undefined,
): AttemptFailure {
  const seconds = Number(retryAfter);
  const isStated = retryAfter !== undefined && seconds >= 0;
  const retryAfterMs = isStated
    ? seconds * MS_PER_SECOND
    : DEFAULT_RETRY_AFTER_MS;
  context.onShed?.(active.service.name, retryAfterMs);
  const failure = notRun('overloaded', 'the upstream sheds load', retryAfterMs);
  return localFailure(active, failure);
}

function lapsedBeforeAnswer(active: ActiveRequest): AttemptFailure {
  const message = 'the term lapsed before the answer';
  const failure = unknownOutcome('lease-lost', message);
  return {
    kind: 'failed',
    failure,
    hasAlternative: isSafe(active.request.method ?? 'GET'),
  };
}

function lapsedBeforeSend(): AttemptFailure {
  const failure = notRun('lease-lost', 'the term has ended');
  return {
    kind: 'failed',
    failure,
    hasAlternative: true,
    isRetryBudgetExempt: true,
  };
}

function fencedFailure(): AttemptFailure {
  const failure = notRun('lease-lost', 'the upstream refused the epoch');
  return {
    kind: 'failed',
    failure,
    hasAlternative: true,
    backoffMs: FENCED_BACKOFF_MS,
  };
}

function unreachableFailure(
  active: ActiveRequest,
  error: Error,
): AttemptFailure {
  const message = `the upstream was not reached: ${error.message}`;
  return localFailure(active, notRun('upstream-refused', message));
}
