import {
  createState,
  decide,
  nextTickAt,
  type AdmissionEvent,
  type Verdict,
  type TrackedRequest,
} from '../../src/admission/index.js';

/** Decides which requests get a slot. Each call returns the answers it brings about. */
export interface Policy {
  readonly arrive: (work: TrackedRequest, now: number) => readonly Verdict[];
  readonly finish: (id: number, now: number) => readonly Verdict[];
  readonly tick: (now: number) => readonly Verdict[];
  /** Time of the next `tick`, or infinity. */
  readonly nextTickAt: (now: number) => number;
}

const PARAMETERS = {rampMs: 5000, coldShare: 0.25};
const COMPACT_THRESHOLD = 1024;

/**
 * The project's own admission.
 *
 * @example
 * admissionPolicy(12, 64).arrive(work, 0); // [{kind: 'admitted', work}]
 */
export function admissionPolicy(
  slots: number,
  queueLimit: number,
  keyShare = 0.5,
): Policy {
  let state = createState(slots, {...PARAMETERS, queueLimit, keyShare});
  const apply = (event: AdmissionEvent, now: number) => {
    const step = decide(state, event, now);
    state = step.state;
    return step.verdicts;
  };
  return {
    arrive: (work, now) => apply({kind: 'arrive', request: work}, now),
    finish: (id, now) => apply({kind: 'finish', id, completion: 'ran'}, now),
    tick: now => apply({kind: 'tick'}, now),
    nextTickAt: now => nextTickAt(state, now),
  };
}

/**
 * A first-in first-out queue that refuses only what exceeds its limit.
 *
 * @example
 * fifoPolicy(12, Infinity).arrive(work, 0); // [{kind: 'admitted', work}]
 */
export function fifoPolicy(slots: number, queueLimit: number): Policy {
  let queue: TrackedRequest[] = [];
  let head = 0;
  let running = 0;
  const startNext = (): readonly Verdict[] => {
    if (head === queue.length) return [];
    const work = queue[head++];
    if (head > COMPACT_THRESHOLD && head * 2 > queue.length) {
      queue = queue.slice(head);
      head = 0;
    }
    running++;
    return [{kind: 'admitted', request: work}];
  };
  const arrive = (work: TrackedRequest): readonly Verdict[] => {
    if (running < slots) {
      running++;
      return [{kind: 'admitted', request: work}];
    }
    if (queue.length - head < queueLimit) {
      queue.push(work);
      return [];
    }
    return [
      {kind: 'refused', request: work, reason: 'overloaded', retryAfterMs: 0},
    ];
  };
  return {
    arrive,
    finish: () => {
      running--;
      return startNext();
    },
    tick: () => [],
    nextTickAt: () => Infinity,
  };
}
