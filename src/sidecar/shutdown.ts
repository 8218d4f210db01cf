import {INGRESS_GRACE_MS, type Denied, type Slots} from '../relay/index.js';

/** What a stopping daemon does from when on, in milliseconds of the clock. */
export interface ShutdownPlan {
  /** Answers close their connections. */
  readonly closeConnectionsFrom: number;
  /** Only what is over before the end is taken. */
  readonly refuseNewFrom: number;
  /** What waits for a slot and is not over before the end is refused. */
  readonly refuseWaitingFrom: number;
  /** What is still open is answered, and the process ends. */
  readonly endsAt: number;
}

/** Time from SIGTERM until answers close the callers' connections. */
const KEEP_ALIVE_DURATION_MS = 1000;

/**
 * Time for which callers go on sending after readiness is withdrawn: two checks,
 * a second apart, and the answers to them.
 */
export const READINESS_PROPAGATION_MS = 2700;

/** Time before the grace ends in which the process ends by itself. */
const KILL_MARGIN_MS = 500;

/** Time kept before the end for what an instance has begun to run. */
const FINISH_RESERVE_MS = 1600;

/**
 * Time that is left after a deadline for the answer that it has passed, in
 * milliseconds: what the caller's daemon waits beyond it, and a turn of its loop.
 */
const DEADLINE_ANSWER_MS = INGRESS_GRACE_MS + 100;

/**
 * Plans the stop of a daemon.
 *
 * @param graceMs Time until the process is killed.
 *
 * @example
 * const plan = planStop(performance.now(), 6000);
 */
export function planShutdown(startedAt: number, graceMs: number): ShutdownPlan {
  const endsAt = startedAt + graceMs - KILL_MARGIN_MS;
  const refuseWaitingFrom = endsAt - FINISH_RESERVE_MS;
  const refuseNewFrom = Math.min(
    startedAt + READINESS_PROPAGATION_MS,
    refuseWaitingFrom,
  );
  const closeConnectionsFrom = startedAt + KEEP_ALIVE_DURATION_MS;
  return {
    closeConnectionsFrom: closeConnectionsFrom,
    refuseNewFrom: refuseNewFrom,
    refuseWaitingFrom: refuseWaitingFrom,
    endsAt,
  };
}

/**
 * Tells whether a request is over before the daemon ends, answered or not, so
 * that taking it can't cut it.
 *
 * @example
 * isOverInTime(plan, now + 400); // a look-up, for most of the grace
 */
export function endsBeforeShutdown(
  plan: ShutdownPlan,
  deadlineAt: number,
): boolean {
  return deadlineAt + DEADLINE_ANSWER_MS <= plan.endsAt;
}

/** Slots that may be withheld from what can't finish any more. */
export interface SlotGate {
  /** Returns slots that are withheld with the others. */
  readonly wrap: (slots: Slots) => Slots;
  /** Refuses what waits for a slot, and what asks for one from now on. */
  readonly refuseFromNow: (isRefused: (deadlineAt: number) => boolean) => void;
}

/**
 * Creates what withholds slots.
 *
 * @param retryAfterMs Time after which those refused are to come back.
 *
 * @example
 * const withholding = createWithholding(200);
 * const slots = withholding.wrap(createSlots({slots: 12, clock}));
 * withholding.withhold(deadlineAt => deadlineAt > endsAt);
 */
export function createSlotGate(retryAfterMs: number): SlotGate {
  const denied: Denied = {kind: 'denied', reason: 'draining', retryAfterMs};
  const waiters = new Map<AbortController, number>();
  const refusedWaiters = new WeakSet<AbortController>();
  let isRefused: (deadlineAt: number) => boolean = () => false;
  return {
    wrap: inner => ({
      state: inner.state,
      setRateLimit: inner.setRateLimit,
      refusal: (claim, ahead) =>
        isRefused(claim.deadlineAt) ? denied : inner.refusal(claim, ahead),
      acquire: (request, signal) => {
        if (isRefused(request.deadlineAt)) return denied;
        let controller: AbortController | undefined;
        const grant = inner.acquire(request, () => {
          const own = new AbortController();
          controller = own;
          const outer = signal();
          const cancel = () => own.abort();
          outer.addEventListener('abort', cancel, {once: true});
          if (outer.aborted) cancel();
          waiters.set(own, request.deadlineAt);
          return own.signal;
        });
        if (!(grant instanceof Promise)) return grant;
        return grant.then(result => {
          if (!controller) return result;
          waiters.delete(controller);
          const wasRefusedHere =
            result.kind === 'denied' && refusedWaiters.has(controller);
          return wasRefusedHere ? denied : result;
        });
      },
    }),
    refuseFromNow: predicate => {
      isRefused = predicate;
      for (const [controller, deadlineAt] of waiters) {
        if (!predicate(deadlineAt)) continue;
        refusedWaiters.add(controller);
        controller.abort();
      }
    },
  };
}
