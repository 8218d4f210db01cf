import {
  INGRESS_GRACE_MS,
  type Claim,
  type Denied,
  type Slots,
} from '../relay/index.js';
import type {RunTimes} from './runtimes.js';

/**
 * Times at which the phases of a shutdown begin, as readings of the daemon's
 * clock in milliseconds.
 */
export interface ShutdownPlan {
  /** From then on, responses close their connections. */
  readonly closeConnectionsFrom: number;
  /**
   * From then on, new requests are refused unless they are certain to end
   * before the process does.
   */
  readonly refuseNewFrom: number;
  /**
   * From then on, requests that wait for a slot are also refused unless they
   * are certain to end before the process does; requests of routes with longer
   * runs are refused earlier.
   */
  readonly refuseWaitingFrom: number;
  /**
   * Requests that are still open are then answered, and the process ends if it
   * has not ended earlier.
   */
  readonly endsAt: number;
}

/** Time from SIGTERM until responses close the callers' connections. */
const KEEP_ALIVE_DURATION_MS = 1000;

/**
 * Time for which callers keep sending requests after readiness is withdrawn:
 * two readiness checks, a second apart, and the responses to them.
 */
export const READINESS_PROPAGATION_MS = 2700;

/** Time before SIGKILL at which the process ends by itself. */
const KILL_MARGIN_MS = 500;

/**
 * Shortest time reserved before the end for requests that the instance has begun
 * to run, and the time reserved if a route has no recent runs.
 */
const FINISH_RESERVE_MS = 1600;

/**
 * Time between the end of a run and the receipt of its response, in
 * milliseconds: a turn of the event loop of each of two daemons.
 */
const RESPONSE_MS = 100;

/** Share of the runs of a route of which some are expected to take longer. */
const TYPICAL_SHARE = 0.5;

/** Share of the runs of a route that hardly any run exceeds. */
const LONGEST_SHARE = 0.995;

/**
 * Time reserved after a request's deadline for the response that it was missed,
 * in milliseconds: how long the caller's daemon waits beyond the deadline, and
 * a turn of its event loop.
 */
const DEADLINE_ANSWER_MS = INGRESS_GRACE_MS + 100;

/**
 * Plans the shutdown of a daemon.
 *
 * @param graceMs Time from SIGTERM to SIGKILL, in milliseconds.
 *
 * @example
 * const plan = planShutdown(performance.now(), 6000);
 */
export function planShutdown(startedAt: number, graceMs: number): ShutdownPlan {
  const endsAt = startedAt + graceMs - KILL_MARGIN_MS;
  const refuseWaitingFrom = endsAt - FINISH_RESERVE_MS;
  const refuseNewFrom = Math.min(
    startedAt + READINESS_PROPAGATION_MS,
    refuseWaitingFrom,
  );
  const closeConnectionsFrom = startedAt + KEEP_ALIVE_DURATION_MS;
  return {closeConnectionsFrom, refuseNewFrom, refuseWaitingFrom, endsAt};
}

/**
 * Returns whether a request is certain to end, answered or timed out, before
 * the daemon does, so that the shutdown cannot interrupt it.
 *
 * @example
 * endsBeforeShutdown(plan, now + 400); // true for most of the grace period
 */
export function endsBeforeShutdown(
  plan: ShutdownPlan,
  deadlineAt: number,
): boolean {
  return deadlineAt + DEADLINE_ANSWER_MS <= plan.endsAt;
}

/**
 * Returns whether a request may start to run during a shutdown, by the recent
 * runs of its route.
 *
 * While callers still send requests, only those are refused whose run would
 * typically be interrupted, as a refusal for the rare long run would cost more
 * requests than it saves. The few that are left later must be known to end in
 * time.
 *
 * @example
 * mayStartBeforeShutdown(plan, claim, runTimes, performance.now());
 */
export function mayStartBeforeShutdown(
  plan: ShutdownPlan,
  {kind, deadlineAt}: Pick<Claim, 'kind' | 'deadlineAt'>,
  runTimes: Pick<RunTimes, 'quantileMs'>,
  now: number,
): boolean {
  if (endsBeforeShutdown(plan, deadlineAt)) return true;
  if (now >= plan.refuseWaitingFrom) return false;
  const share = now < plan.refuseNewFrom ? TYPICAL_SHARE : LONGEST_SHARE;
  const runMs = runTimes.quantileMs(kind, share) ?? 0;
  return now + runMs + RESPONSE_MS <= plan.endsAt;
}

/** Refuses slots to chosen requests. */
export interface SlotGate {
  /** Returns slots that are subject to this gate. */
  readonly wrap: (slots: Slots) => Slots;
  /**
   * Refuses slots to the requests that the predicate selects: to those that wait
   * now, and to each one that arrives or gets its slot later. Replaces an earlier
   * predicate.
   */
  readonly refuseFromNow: (isRefused: (claim: Claim) => boolean) => void;
}

/**
 * Creates a slot gate, which initially refuses nothing.
 *
 * @param retryAfterMs Retry-After of refused requests, in milliseconds.
 *
 * @example
 * const gate = createSlotGate(200);
 * const slots = gate.wrap(createSlots({slots: 12, clock}));
 * gate.refuseFromNow(({deadlineAt}) => deadlineAt > endsAt);
 */
export function createSlotGate(retryAfterMs: number): SlotGate {
  const denied: Denied = {kind: 'denied', reason: 'draining', retryAfterMs};
  const waiters = new Map<AbortController, Claim>();
  const refusedWaiters = new WeakSet<AbortController>();
  let isRefused: (claim: Claim) => boolean = () => false;
  return {
    wrap: inner => ({
      state: inner.state,
      setRateLimit: inner.setRateLimit,
      refusal: (claim, ahead) =>
        isRefused(claim) ? denied : inner.refusal(claim, ahead),
      acquire: (claim, signal) => {
        if (isRefused(claim)) return denied;
        let controller: AbortController | undefined;
        const grant = inner.acquire(claim, () => {
          const own = new AbortController();
          controller = own;
          const outer = signal();
          const cancel = () => own.abort();
          outer.addEventListener('abort', cancel, {once: true});
          if (outer.aborted) cancel();
          waiters.set(own, claim);
          return own.signal;
        });
        if (!(grant instanceof Promise)) return grant;
        return grant.then(result => {
          if (!controller) return result;
          waiters.delete(controller);
          if (result.kind === 'granted' && isRefused(claim)) {
            result.release(false);
            return denied;
          }
          const wasRefusedHere =
            result.kind === 'denied' && refusedWaiters.has(controller);
          return wasRefusedHere ? denied : result;
        });
      },
    }),
    refuseFromNow: predicate => {
      isRefused = predicate;
      for (const [controller, claim] of waiters) {
        if (!predicate(claim)) continue;
        refusedWaiters.add(controller);
        controller.abort();
      }
    },
  };
}
