import {scheduleTimeout, type Schedule} from '../admission/index.js';
import type {FailureReason} from '../model/index.js';
import {
  applyQueueEvent,
  createQueue,
  nextQueueTickAt,
  refusalOf,
  type QueueEvent,
  type QueueState,
  type QueueVerdict,
  type SlotRequest,
} from './queue.js';

/**
 * A granted slot, held until `release` is called; later calls have no effect.
 */
export interface Granted {
  readonly kind: 'granted';
  /** @param ran The instance ran the request to its end. */
  readonly release: (ran: boolean) => void;
}

/** A refusal: the request must not be sent to the instance. */
export interface Denied {
  readonly kind: 'denied';
  readonly reason: FailureReason;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Result of a request for a slot. */
export type Grant = Granted | Denied;

/** A request for a slot, without the identifier and arrival time. */
export type Claim = Omit<SlotRequest, 'id' | 'arrivedAt'>;

/** Settings of `createSlots`. */
export interface SlotsOptions {
  readonly slots: number;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly schedule?: Schedule;
  /** Called after each event with the state that it led to. */
  readonly onChange?: (state: QueueState) => void;
}

/** Slots of the local instance. */
export interface Slots {
  /**
   * Acquires a slot. Returns a promise only if the request has to wait; the
   * promise never rejects. If the signal aborts, the request is denied as
   * cancelled.
   */
  readonly acquire: (
    claim: Claim,
    signal: () => AbortSignal,
  ) => Promise<Grant> | Grant;
  /**
   * Returns the refusal that a request would get now, if any.
   *
   * @param ahead Requests of its kind that arrive before it.
   */
  readonly refusal: (claim: Claim, ahead: number) => Denied | undefined;
  /**
   * Sets the rate limit that the instance states, in requests a second;
   * undefined for no limit.
   */
  readonly setRateLimit: (perSecond: number | undefined) => void;
  /** State after the last event. */
  readonly state: () => QueueState;
}

/**
 * Creates the slots of an instance.
 *
 * @example
 * const slots = createSlots({slots: 12, clock: () => performance.now()});
 * const grant = await slots.acquire(request, () => controller.signal);
 * if (grant.kind === 'granted') grant.release(true);
 */
export function createSlots(options: SlotsOptions): Slots {
  const {clock, schedule = scheduleTimeout, onChange} = options;
  const pending = new Map<number, (grant: Grant) => void>();
  let state = createQueue(options.slots);
  let nextId = 1;
  let timerAt = Infinity;
  let cancelTimer: (() => void) | undefined;

  const apply = (event: QueueEvent) => {
    const step = applyQueueEvent(state, event, clock());
    state = step.state;
    onChange?.(state);
    step.verdicts.forEach(settle);
    arm();
  };

  const arm = () => {
    const at = nextQueueTickAt(state);
    if (at >= timerAt) return;
    cancelTimer?.();
    timerAt = at;
    cancelTimer = schedule(Math.max(1, Math.ceil(at - clock())), () => {
      timerAt = Infinity;
      apply({kind: 'tick'});
    });
  };

  const settle = (verdict: QueueVerdict) => {
    const {id} = verdict;
    const resolve = pending.get(id);
    pending.delete(id);
    if (verdict.kind === 'refuse') {
      const {reason, retryAfterMs} = verdict;
      resolve?.({kind: 'denied', reason, retryAfterMs});
      return;
    }
    // A second call has no effect, as the request no longer holds a slot.
    const release = (ran: boolean) => apply({kind: 'finish', id, ran});
    resolve?.({kind: 'granted', release});
  };

  const waitFor = (id: number, signal: AbortSignal) =>
    new Promise<Grant>(resolve => {
      const cancel = () => {
        if (!pending.delete(id)) return;
        apply({kind: 'cancel', id});
        resolve({kind: 'denied', reason: 'cancelled', retryAfterMs: 0});
      };
      pending.set(id, grant => {
        signal.removeEventListener('abort', cancel);
        resolve(grant);
      });
      signal.addEventListener('abort', cancel, {once: true});
      if (signal.aborted) cancel();
    });

  return {
    acquire: (claim, signal) => {
      const id = nextId++;
      let grant: Grant | undefined;
      pending.set(id, known => (grant = known));
      apply({kind: 'arrive', request: {...claim, id, arrivedAt: clock()}});
      return grant ?? waitFor(id, signal());
    },
    refusal: (claim, ahead) => {
      const now = clock();
      const request = {...claim, id: nextId, arrivedAt: now};
      const verdict = refusalOf(state, request, ahead, now);
      return verdict && {kind: 'denied', ...verdict};
    },
    setRateLimit: perSecond => apply({kind: 'limit', perSecond}),
    state: () => state,
  };
}
