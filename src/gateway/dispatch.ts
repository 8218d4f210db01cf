import {
  type Failure,
  type Member,
  type Service,
  notRun,
  unknownOutcome,
} from '../model/index.js';
import {findSide, type Side} from '../routing/index.js';
import {finalFailure, type Attempt, type AttemptFailure} from './attempt.js';
import type {Context} from './context.js';
import {GATEWAY_EVENTS} from './events.js';
import {sendLocal} from './local.js';
import {
  isReplayable,
  receiveBody,
  untilStoppedOrTimeout,
  type ActiveRequest,
} from './active-request.js';
import {sendOld} from './old-address.js';
import {sendRemote} from './remote.js';
import {needsDeduplication, sendOnce} from './idempotency.js';
import {decideRetry, isIdempotent} from './retry.js';

/** Limit on the attempts for one request. */
const ATTEMPT_LIMIT = 8;

/** Longest wait for a slice without a known owner. */
const OWNER_WAIT_LIMIT_MS = 3000;

/** Interval at which a pending handover is checked again. */
const HANDOVER_POLL_MS = 200;

const RETRY_AFTER_MS = 1000;

/**
 * Result of a request: answered, broken off while the answer was being sent, or
 * failed before any part of an answer was sent.
 */
export type RequestResult = Exclude<Attempt, AttemptFailure> | FailedRequest;

/** A failed request whose caller has not been answered yet. */
export interface FailedRequest {
  readonly kind: 'failed';
  readonly failure: Failure;
}

/** State that the attempts of one request share. */
interface AttemptHistory {
  /** Instances that were tried since the route last changed. */
  readonly tried: Set<string>;
  /** Instances that reset the request once and may be tried a second time. */
  readonly resetOnce: Set<string>;
  attempts: number;
  /** Time at which the request stops waiting for an unknown owner. */
  ownerWaitEndsAt: number;
}

/**
 * Gets an answer for a request. Sends it along the current route and retries
 * where that is safe, until the answer is sent to the caller or the request
 * fails.
 *
 * @example
 * const result = await dispatch(context, active);
 * if (result.kind === 'failed') sendFailure(response, result.failure, active.id);
 */
export async function dispatch(
  context: Context,
  active: ActiveRequest,
): Promise<RequestResult> {
  if (active.bodyMode === 'kept') await receiveBody(active);
  const history: AttemptHistory = {
    tried: new Set(),
    resetOnce: new Set(),
    attempts: 0,
    ownerWaitEndsAt: Math.min(
      active.deadlineAt,
      context.clock() + OWNER_WAIT_LIMIT_MS,
    ),
  };
  const {state} = active;
  while (!state.stopReason) {
    const attempt = await nextAttempt(context, active, history);
    if (attempt === 'waited') continue;
    if (attempt.kind !== 'failed') return attempt;
    if (attempt.failure.outcome === 'unknown') state.mayHaveRun = true;
    if (state.stopReason) break;
    if (!shouldRetry(context, active, history, attempt)) {
      return failRequest(active, attempt.failure);
    }
    if (attempt.backoffMs) {
      await untilStoppedOrTimeout(active, undefined, attempt.backoffMs);
    }
  }
  return failRequest(active, state.stopReason);
}

/**
 * Returns the failed result. The outcome is never `not-run` if an attempt may
 * have run the request.
 */
function failRequest(active: ActiveRequest, failure: Failure): FailedRequest {
  if (!active.state.mayHaveRun) return {kind: 'failed', failure};
  const {status, reason, message} = failure;
  return {
    kind: 'failed',
    failure: {...unknownOutcome(reason, message), status},
  };
}

function nextAttempt(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
): Promise<Attempt | 'waited'> | Attempt {
  const side = active.hop ? NEW_SIDE : findRequestSide(context, active);
  if (side.kind === 'old') return sendOld(context, active, side.handover);
  if (side.kind === 'moving') return waitForHandover(context, active);
  if (active.slice < 0) return attemptUnkeyed(context, active, history);
  return attemptKeyed(context, active, history);
}

const NEW_SIDE: Side = {kind: 'new'};

/**
 * Returns which side of a handover serves the request under the current
 * configuration.
 */
function findRequestSide(context: Context, active: ActiveRequest): Side {
  const {name} = active.service;
  const previous = context.previousHandover?.(name);
  const {handover} = currentService(context, active);
  if (!handover && !previous) return NEW_SIDE;
  return findSide(handover, previous, active.key ?? active.path);
}

function currentService(context: Context, active: ActiveRequest): Service {
  const services = context.configuration()?.services ?? [];
  const {service} = active;
  if (services.includes(service)) return service;
  return services.find(other => other.name === service.name) ?? service;
}

async function waitForHandover(
  context: Context,
  active: ActiveRequest,
): Promise<'waited'> {
  const changed = context.handoverChanged?.(active.service.name);
  await untilStoppedOrTimeout(active, changed, HANDOVER_POLL_MS);
  return 'waited';
}

function attemptKeyed(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
): Promise<Attempt | 'waited'> | Attempt {
  const {ownership} = context;
  const {service, slice, hop} = active;
  const route = ownership.route(service.name, slice);
  switch (route.kind) {
    case 'local':
      if (ownership.holdsTerm(service.name, slice, route.epoch)) {
        return needsDeduplication(active)
          ? sendOnce(context, active, route.epoch)
          : sendLocal(context, active, route.epoch);
      }
      return waitForChange(context, active, active.deadlineAt);
    case 'wait':
      return waitForChange(context, active, active.deadlineAt);
    case 'none':
      if (hop) return finalFailure(notOwner());
      return waitForOwner(context, active, history);
    case 'remote': {
      if (hop) return finalFailure(notOwner());
      const {tried} = history;
      const next = route.candidates.find(m => !tried.has(m.instance));
      if (!next) return waitForOwner(context, active, history);
      tried.add(next.instance);
      return sendRemote(context, active, next, route.epoch).then(attempt =>
        allowRetryAfterReset(history, next.instance, attempt),
      );
    }
  }
}

/**
 * Allows a second try at an instance after its first reset, because the
 * connection may have been closed while idle.
 */
function allowRetryAfterReset(
  history: AttemptHistory,
  instance: string,
  attempt: Attempt,
): Attempt {
  const isReset =
    attempt.kind === 'failed' && attempt.failure.outcome === 'unknown';
  if (isReset && !history.resetOnce.has(instance)) {
    history.resetOnce.add(instance);
    history.tried.delete(instance);
  }
  return attempt;
}

function notOwner(): Failure {
  return notRun('not-owner', 'this daemon does not own the slice');
}

async function waitForOwner(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
): Promise<AttemptFailure | 'waited'> {
  if (context.clock() >= history.ownerWaitEndsAt) {
    const message = 'no owner of the slice is known';
    return finalFailure(notRun('no-owner', message, RETRY_AFTER_MS));
  }
  await waitForChange(context, active, history.ownerWaitEndsAt);
  history.tried.clear();
  return 'waited';
}

async function waitForChange(
  context: Context,
  active: ActiveRequest,
  until: number,
): Promise<'waited'> {
  const {service, slice} = active;
  const changed = context.ownership.routeChanged(service.name, slice);
  await untilStoppedOrTimeout(active, changed, until - context.clock());
  return 'waited';
}

async function attemptUnkeyed(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
): Promise<Attempt> {
  const chosen = chooseInstance(context, active, history);
  if (!chosen) {
    const message = 'no untried instance of the service is serving';
    return finalFailure(notRun('no-owner', message, RETRY_AFTER_MS));
  }
  history.tried.add(chosen.instance);
  const endLoad = context.observedLoads.enter(chosen.instance);
  try {
    const attempt =
      chosen.instance === context.self.instance
        ? await sendLocal(context, active, 0)
        : await sendRemote(context, active, chosen as Member, 0);
    return allowRetryAfterReset(history, chosen.instance, attempt);
  } finally {
    endLoad();
  }
}

function chooseInstance(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
): Pick<Member, 'instance'> | undefined {
  const {self, ownership, observedLoads} = context;
  const upstream = context.upstream();
  const hasLocalUpstream = upstream?.service === active.service.name;
  const isLocalTried = history.tried.has(self.instance);
  if (active.hop) return isLocalTried ? undefined : self;
  if (
    hasLocalUpstream &&
    !isLocalTried &&
    observedLoads.inFlight(self.instance) < upstream.slots
  ) {
    return self;
  }
  const untried = ownership
    .members(active.service.name)
    .filter(member => member.state === 'serving')
    .filter(member => !history.tried.has(member.instance));
  return (
    observedLoads.choose(untried) ??
    (hasLocalUpstream && !isLocalTried ? self : undefined)
  );
}

function shouldRetry(
  context: Context,
  active: ActiveRequest,
  history: AttemptHistory,
  attempt: AttemptFailure,
): boolean {
  history.attempts += 1;
  if (history.attempts >= ATTEMPT_LIMIT) return false;
  const {failure, hasAlternative, isRetryBudgetExempt} = attempt;
  const idempotent = isIdempotent(active.request.method ?? 'GET');
  const replayable = isReplayable(active);
  const decision = decideRetry(
    {failure, hasAlternative, idempotent, replayable},
    isRetryBudgetExempt ? () => true : context.takeRetry,
  );
  if (decision === 'give-up') return false;
  const {reason, message} = failure;
  context.log(GATEWAY_EVENTS.retried, {request: active.id, reason, message});
  return true;
}
