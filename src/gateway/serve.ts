import {
  type Failure,
  type Member,
  type Service,
  notRun,
  unknownOutcome,
} from '../model/index.js';
import {findSide, type Side} from '../routing/index.js';
import {failed, type Attempt, type FailedTry} from './attempt.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {sendLocal} from './local.js';
import {
  isReplayable,
  prepareBody,
  untilStoppedOrTime,
  type Pass,
} from './pass.js';
import {sendOld} from './old.js';
import {sendRemote} from './remote.js';
import {isRepeatable, sendOnce} from './repeats.js';
import {decideRetry, isIdempotent} from './retry.js';

/** Most attempts to get an answer for one request. */
const ATTEMPT_LIMIT = 8;

/** Longest wait for an owner where none is known, in milliseconds. */
const OWNER_WAIT_LIMIT_MS = 3000;

/** Time after which a handover is looked at again, in milliseconds. */
const HANDOVER_POLL_MS = 200;

const RETRY_AFTER_MS = 1000;

/** How a pass ended. */
export type PassResult = Exclude<Attempt, FailedTry> | FailedPass;

/** A pass of which the caller is still to be told. */
export interface FailedPass {
  readonly kind: 'failed';
  readonly failure: Failure;
}

/** What the attempts of one pass have shown so far. */
interface Progress {
  /** Instances that did not run the request, since the route last changed. */
  readonly tried: Set<string>;
  /** Instances that reset a request once, and may be tried once more. */
  readonly reset: Set<string>;
  attempts: number;
  /** Time until which the pass waits where no owner is known. */
  waitUntil: number;
}

/**
 * Gets an answer for a request: tries where the route leads, and again where
 * that is safe, until the answer is passed on or the request is given up.
 *
 * @example
 * const result = await serve(context, pass);
 * if (result.kind === 'failed') sendFailure(response, result.failure, pass.id);
 */
export async function serve(context: Context, pass: Pass): Promise<PassResult> {
  if (pass.bodyMode === 'kept') await prepareBody(pass);
  const progress: Progress = {
    tried: new Set(),
    reset: new Set(),
    attempts: 0,
    waitUntil: Math.min(pass.deadlineAt, context.clock() + OWNER_WAIT_LIMIT_MS),
  };
  const {state} = pass;
  while (!state.stopped) {
    const attempt = await nextAttempt(context, pass, progress);
    if (attempt === 'waited') continue;
    if (attempt.kind !== 'failed') return attempt;
    if (attempt.failure.outcome === 'unknown') state.mayHaveRun = true;
    if (state.stopped) break;
    if (!retries(context, pass, progress, attempt)) {
      return conclude(pass, attempt.failure);
    }
    if (attempt.pauseMs) {
      await untilStoppedOrTime(pass, undefined, attempt.pauseMs);
    }
  }
  return conclude(pass, state.stopped);
}

/** Describes a failed pass: once it may have been run, it is never `not-run`. */
function conclude(pass: Pass, failure: Failure): FailedPass {
  if (!pass.state.mayHaveRun) return {kind: 'failed', failure};
  const {status, reason, message} = failure;
  return {
    kind: 'failed',
    failure: {...unknownOutcome(reason, message), status},
  };
}

function nextAttempt(
  context: Context,
  pass: Pass,
  progress: Progress,
): Promise<Attempt | 'waited'> | Attempt {
  const side = pass.hop ? NEW_SIDE : sideOfPass(context, pass);
  if (side.kind === 'old') return sendOld(context, pass, side.handover);
  if (side.kind === 'moving') return waitForHandover(context, pass);
  if (pass.slice < 0) return attemptUnkeyed(context, pass, progress);
  return attemptKeyed(context, pass, progress);
}

const NEW_SIDE: Side = {kind: 'new'};

/** Finds who serves a request by the handover that is in force now. */
function sideOfPass(context: Context, pass: Pass): Side {
  const {name} = pass.service;
  const previous = context.previousHandover?.(name);
  const {handover} = currentService(context, pass);
  if (!handover && !previous) return NEW_SIDE;
  return findSide(handover, previous, pass.key ?? pass.path);
}

function currentService(context: Context, pass: Pass): Service {
  const services = context.configuration()?.services ?? [];
  const {service} = pass;
  if (services.includes(service)) return service;
  return services.find(other => other.name === service.name) ?? service;
}

async function waitForHandover(
  context: Context,
  pass: Pass,
): Promise<'waited'> {
  const changed = context.handoverChanged?.(pass.service.name);
  await untilStoppedOrTime(pass, changed, HANDOVER_POLL_MS);
  return 'waited';
}

function attemptKeyed(
  context: Context,
  pass: Pass,
  progress: Progress,
): Promise<Attempt | 'waited'> | Attempt {
  const {ownership} = context;
  const {service, slice, hop} = pass;
  const route = ownership.route(service.name, slice);
  switch (route.kind) {
    case 'local':
      if (ownership.holdsTerm(service.name, slice, route.epoch)) {
        return isRepeatable(pass)
          ? sendOnce(context, pass, route.epoch)
          : sendLocal(context, pass, route.epoch);
      }
      return waitForChange(context, pass, pass.deadlineAt);
    case 'wait':
      return waitForChange(context, pass, pass.deadlineAt);
    case 'none':
      if (hop) return failed(notOwner());
      return waitForOwner(context, pass, progress);
    case 'remote': {
      if (hop) return failed(notOwner());
      const {tried} = progress;
      const next = route.candidates.find(m => !tried.has(m.instance));
      if (!next) return waitForOwner(context, pass, progress);
      tried.add(next.instance);
      return sendRemote(context, pass, next, route.epoch).then(attempt =>
        forgiveReset(progress, next.instance, attempt),
      );
    }
  }
}

/**
 * Lets an instance be tried once more after its first reset, which a connection
 * that was closed while idle may have caused.
 */
function forgiveReset(
  progress: Progress,
  instance: string,
  attempt: Attempt,
): Attempt {
  const reset =
    attempt.kind === 'failed' && attempt.failure.outcome === 'unknown';
  if (reset && !progress.reset.has(instance)) {
    progress.reset.add(instance);
    progress.tried.delete(instance);
  }
  return attempt;
}

function notOwner(): Failure {
  return notRun('not-owner', 'this daemon does not own the slice');
}

async function waitForOwner(
  context: Context,
  pass: Pass,
  progress: Progress,
): Promise<FailedTry | 'waited'> {
  if (context.clock() >= progress.waitUntil) {
    const message = 'no owner of the slice is known';
    return failed(notRun('no-owner', message, RETRY_AFTER_MS));
  }
  await waitForChange(context, pass, progress.waitUntil);
  progress.tried.clear();
  return 'waited';
}

async function waitForChange(
  context: Context,
  pass: Pass,
  until: number,
): Promise<'waited'> {
  const {service, slice} = pass;
  const changed = context.ownership.routeChanged(service.name, slice);
  await untilStoppedOrTime(pass, changed, until - context.clock());
  return 'waited';
}

async function attemptUnkeyed(
  context: Context,
  pass: Pass,
  progress: Progress,
): Promise<Attempt> {
  const chosen = chooseInstance(context, pass, progress);
  if (!chosen) {
    const message = 'no instance of the service is known';
    return failed(notRun('no-owner', message, RETRY_AFTER_MS));
  }
  progress.tried.add(chosen.instance);
  const leave = context.loads.enter(chosen.instance);
  try {
    const attempt =
      chosen.instance === context.self.instance
        ? await sendLocal(context, pass, 0)
        : await sendRemote(context, pass, chosen as Member, 0);
    return forgiveReset(progress, chosen.instance, attempt);
  } finally {
    leave();
  }
}

function chooseInstance(
  context: Context,
  pass: Pass,
  progress: Progress,
): Pick<Member, 'instance'> | undefined {
  const {self, ownership, loads} = context;
  const upstream = context.upstream();
  const beside = upstream?.service === pass.service.name;
  const localTried = progress.tried.has(self.instance);
  if (pass.hop) return localTried ? undefined : self;
  if (beside && !localTried && loads.inFlight(self.instance) < upstream.slots) {
    return self;
  }
  const untried = ownership
    .members(pass.service.name)
    .filter(member => member.state === 'serving')
    .filter(member => !progress.tried.has(member.instance));
  return loads.choose(untried) ?? (beside && !localTried ? self : undefined);
}

function retries(
  context: Context,
  pass: Pass,
  progress: Progress,
  attempt: FailedTry,
): boolean {
  progress.attempts += 1;
  if (progress.attempts >= ATTEMPT_LIMIT) return false;
  const {failure, alternative, free} = attempt;
  const idempotent = isIdempotent(pass.request.method ?? 'GET');
  const replayable = isReplayable(pass);
  const verdict = decideRetry(
    {failure, alternative, idempotent, replayable},
    free ? () => true : context.retryAllowed,
  );
  if (verdict === 'give-up') return false;
  const {reason, message} = failure;
  context.log(GATEWAY_EVENTS.retried, {request: pass.id, reason, message});
  return true;
}
