import {
  type FailureReason,
  type Member,
  notRun,
  unknownOutcome,
} from '../model/index.js';
import type {ResponseHead} from '../upstream/index.js';
import {REPLAYED_HEADER} from './replayed-answer.js';
import {runExchange, type Attempt, type AttemptFailure} from './attempt.js';
import type {Context} from './context.js';
import {OUTCOME_HEADER, REASON_HEADER} from './failure.js';
import {HOP_HEADER, SIGNATURE_HEADER} from './head.js';
import {formatHop, signHop, type Hop} from './hop.js';
import {EPOCH_HEADER, OWNER_HEADER, REQUEST_HEADER} from './local.js';
import {bodyOf, type ActiveRequest} from './active-request.js';

/** Most connections from one daemon to one other. */
const PEER_CONNECTIONS = 64;

/** Own headers of a peer's answer that callers see. */
const FORWARDED_OWN_HEADERS = [
  OWNER_HEADER,
  OUTCOME_HEADER,
  REPLAYED_HEADER,
] as const;

/** Reasons of a peer for which another daemon may still run the request. */
const DAEMON_REASONS: ReadonlySet<string> = new Set<FailureReason>([
  'not-owner',
  'lease-lost',
  'draining',
]);

/** Further reasons that hold for one instance of a service without keys. */
const INSTANCE_REASONS: ReadonlySet<string> = new Set<FailureReason>([
  'overloaded',
  'upstream-refused',
]);

/**
 * Forwards a request to another daemon, which runs it or says that it did not.
 *
 * @param epoch Highest epoch that this daemon knows for the slice.
 *
 * @example
 * const attempt = await sendRemote(context, pass, route.candidates[0], route.epoch);
 */
export function sendRemote(
  context: Context,
  active: ActiveRequest,
  member: Member,
  epoch: number,
): Promise<Attempt> {
  context.countForwarded?.();
  const span = context.trace.start('forward', active.span.traceparent, {
    to: member.instance,
  });
  const pool = context.peerPools.get(member.peers, PEER_CONNECTIONS);
  const call = {
    method: active.request.method ?? 'GET',
    path: active.target,
    headers: peerHeaders(context, active, member, epoch, span.traceparent),
    body: bodyOf(active),
  };
  return runExchange(active, pool, call, {
    canSend: () => true,
    classify: head => classifyAnswer(context, active, head),
    addHeaders: forwardOwnHeaders,
    classifyUnsent: error => unreachableFailure(context, member, error),
    hasOwnerMoved:
      active.slice < 0
        ? undefined
        : () => hasOwnerMoved(context, active, member),
    onEnd: span.end,
  });
}

/**
 * Tells whether the lease under which a member was asked can't be in force any
 * more, so that the member may be frozen and its answer may never come.
 */
function hasOwnerMoved(
  context: Context,
  active: ActiveRequest,
  member: Member,
): boolean {
  const route = context.ownership.route(active.service.name, active.slice);
  if (route.kind !== 'remote') return route.kind !== 'none';
  return !route.candidates.some(
    candidate =>
      candidate.instance === member.instance &&
      candidate.generation === member.generation,
  );
}

function peerHeaders(
  context: Context,
  active: ActiveRequest,
  member: Member,
  epoch: number,
  traceparent: string,
): string[] {
  const method = active.request.method ?? 'GET';
  const text = formatHop(createHop(context, active, member, epoch));
  const subject = {method, target: active.target, traceparent};
  const headers = active.head.headers.slice();
  headers.push('traceparent', traceparent, HOP_HEADER, text);
  headers.push(SIGNATURE_HEADER, signHop(context.signer, text, subject));
  return headers;
}

function createHop(
  context: Context,
  active: ActiveRequest,
  member: Member,
  epoch: number,
): Hop {
  const remainingMs = Math.floor(active.deadlineAt - context.clock());
  return {
    receiver: member.process,
    sender: context.self.process,
    sequence: context.nextSequence(member.process),
    sentAt: Math.floor(context.wallClock()),
    deadlineMs: Math.max(1, remainingMs),
    epoch,
    forwardCount: 1,
    request: active.id,
    caller: active.caller,
  };
}

/**
 * Judges the head of a peer's answer. An answer without the identifier of this
 * request belongs to another one. A peer's failure is passed on as it is, unless
 * another daemon may run the request, or an earlier attempt may have run it.
 */
function classifyAnswer(
  context: Context,
  active: ActiveRequest,
  head: ResponseHead,
): AttemptFailure | undefined {
  const {ownHeaders: own} = head;
  if (own.get(REQUEST_HEADER) !== active.id) return mismatchedAnswer();
  const epoch = Number(own.get(EPOCH_HEADER));
  if (epoch > 0)
    context.onEpochSeen?.(active.service.name, active.slice, epoch);
  const reason = own.get(REASON_HEADER);
  if (reason === undefined || own.get(OUTCOME_HEADER) !== 'not-run') {
    return undefined;
  }
  const hasAlternative = canRunElsewhere(active, reason);
  if (!hasAlternative && !active.state.mayHaveRun) return undefined;
  const message = 'the peer did not run the request';
  const failure = notRun(reason as FailureReason, message);
  return {kind: 'failed', failure, hasAlternative: hasAlternative};
}

function canRunElsewhere(active: ActiveRequest, reason: string): boolean {
  if (DAEMON_REASONS.has(reason)) return true;
  return active.key === undefined && INSTANCE_REASONS.has(reason);
}

function mismatchedAnswer(): AttemptFailure {
  return {
    kind: 'failed',
    failure: unknownOutcome('upstream-reset', 'answer to another request'),
    hasAlternative: true,
  };
}

function forwardOwnHeaders(head: ResponseHead): void {
  for (const name of FORWARDED_OWN_HEADERS) {
    const value = head.ownHeaders.get(name);
    if (value !== undefined) head.headers.push(name, value);
  }
}

function unreachableFailure(
  context: Context,
  member: Member,
  error: Error,
): AttemptFailure {
  context.ownership.reportUnreachable(member.instance);
  const message = `${member.instance} was not reached: ${error.message}`;
  return {
    kind: 'failed',
    failure: notRun('no-owner', message),
    hasAlternative: true,
  };
}
