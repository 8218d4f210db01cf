import {
  type FailureReason,
  type Member,
  notRun,
  unknownOutcome,
} from '../model/index.js';
import type {ResponseHead} from '../upstream/index.js';
import {REPLAYED_HEADER} from './answered.js';
import {runExchange, type Attempt, type FailedTry} from './attempt.js';
import type {Context} from './context.js';
import {OUTCOME_HEADER, REASON_HEADER} from './failure.js';
import {HOP_HEADER, SIGNATURE_HEADER} from './head.js';
import {formatHop, signHop, type Hop} from './hop.js';
import {EPOCH_HEADER, OWNER_HEADER, REQUEST_HEADER} from './local.js';
import {bodyOf, type Pass} from './pass.js';

/** Most connections from one daemon to one other. */
const PEER_CONNECTIONS = 64;

/** Own headers of a peer's answer that callers see. */
const PASSED_ON = [OWNER_HEADER, OUTCOME_HEADER, REPLAYED_HEADER] as const;

/** Reasons of a peer for which another daemon may still run the request. */
const ELSEWHERE: ReadonlySet<string> = new Set<FailureReason>([
  'not-owner',
  'lease-lost',
  'draining',
]);

/** Further reasons that hold for one instance of a service without keys. */
const INSTANCE_ONLY: ReadonlySet<string> = new Set<FailureReason>([
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
  pass: Pass,
  member: Member,
  epoch: number,
): Promise<Attempt> {
  context.countForwarded?.();
  const span = context.trace.start('forward', pass.span.traceparent, {
    to: member.instance,
  });
  const pool = context.peerPools.get(member.peers, PEER_CONNECTIONS);
  const call = {
    method: pass.request.method ?? 'GET',
    path: pass.target,
    headers: peerHeaders(context, pass, member, epoch, span.traceparent),
    body: bodyOf(pass),
  };
  return runExchange(pass, pool, call, {
    ready: () => true,
    judge: head => judge(context, pass, head),
    extend: passOwnHeaders,
    unsent: error => unreachable(context, member, error),
    moved: pass.slice < 0 ? undefined : () => hasMoved(context, pass, member),
    ended: span.end,
  });
}

/**
 * Tells whether the lease under which a member was asked can't be in force any
 * more, so that the member may be frozen and its answer may never come.
 */
function hasMoved(context: Context, pass: Pass, member: Member): boolean {
  const route = context.ownership.route(pass.service.name, pass.slice);
  if (route.kind !== 'remote') return route.kind !== 'none';
  return !route.candidates.some(
    candidate =>
      candidate.instance === member.instance &&
      candidate.generation === member.generation,
  );
}

function peerHeaders(
  context: Context,
  pass: Pass,
  member: Member,
  epoch: number,
  traceparent: string,
): string[] {
  const method = pass.request.method ?? 'GET';
  const text = formatHop(hopTo(context, pass, member, epoch));
  const subject = {method, target: pass.target, traceparent};
  const headers = pass.head.headers.slice();
  headers.push('traceparent', traceparent, HOP_HEADER, text);
  headers.push(SIGNATURE_HEADER, signHop(context.signer, text, subject));
  return headers;
}

function hopTo(
  context: Context,
  pass: Pass,
  member: Member,
  epoch: number,
): Hop {
  const left = Math.floor(pass.deadlineAt - context.clock());
  return {
    to: member.process,
    from: context.self.process,
    sequence: context.nextSequence(member.process),
    sentAt: Math.floor(context.wallClock()),
    deadlineMs: Math.max(1, left),
    epoch,
    count: 1,
    request: pass.id,
    caller: pass.caller,
  };
}

/**
 * Judges the head of a peer's answer. An answer without the identifier of this
 * request belongs to another one. A peer's failure is passed on as it is, unless
 * another daemon may run the request, or an earlier attempt may have run it.
 */
function judge(
  context: Context,
  pass: Pass,
  head: ResponseHead,
): FailedTry | undefined {
  const {ownHeaders: own} = head;
  if (own.get(REQUEST_HEADER) !== pass.id) return crossed();
  const epoch = Number(own.get(EPOCH_HEADER));
  if (epoch > 0) context.epochSeen?.(pass.service.name, pass.slice, epoch);
  const reason = own.get(REASON_HEADER);
  if (reason === undefined || own.get(OUTCOME_HEADER) !== 'not-run') {
    return undefined;
  }
  const alternative = runsElsewhere(pass, reason);
  if (!alternative && !pass.state.mayHaveRun) return undefined;
  const message = 'the peer did not run the request';
  const failure = notRun(reason as FailureReason, message);
  return {kind: 'failed', failure, alternative};
}

function runsElsewhere(pass: Pass, reason: string): boolean {
  if (ELSEWHERE.has(reason)) return true;
  return pass.key === undefined && INSTANCE_ONLY.has(reason);
}

function crossed(): FailedTry {
  return {
    kind: 'failed',
    failure: unknownOutcome('upstream-reset', 'answer to another request'),
    alternative: true,
  };
}

function passOwnHeaders(head: ResponseHead): void {
  for (const name of PASSED_ON) {
    const value = head.ownHeaders.get(name);
    if (value !== undefined) head.headers.push(name, value);
  }
}

function unreachable(
  context: Context,
  member: Member,
  error: Error,
): FailedTry {
  context.ownership.reportUnreachable(member.instance);
  const message = `${member.instance} was not reached: ${error.message}`;
  return {
    kind: 'failed',
    failure: notRun('no-owner', message),
    alternative: true,
  };
}
