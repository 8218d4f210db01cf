import {
  createState,
  decide,
  nextTickAt,
  type AdmissionEvent,
  type AdmissionState,
  type Parameters,
  type Verdict,
  type TrackedRequest,
} from '../../src/admission/index.js';

/** Parameters of a small upstream, with some replaced. */
export function parameters(changed: Partial<Parameters> = {}): Parameters {
  const common = {queueLimit: 8, keyShare: 0.5, rampMs: 400, coldShare: 0.25};
  return {...common, ...changed};
}

/** A request with a distant deadline, with some fields replaced. */
export function request(
  id: number,
  changed: Partial<TrackedRequest> = {},
): TrackedRequest {
  const fields = {service: 'rota', priority: 1, key: undefined};
  return {id, caller: `c${id}`, deadlineAt: 1e6, ...fields, ...changed};
}

/** One applied event. */
export interface AppliedEvent {
  readonly before: AdmissionState;
  readonly state: AdmissionState;
  readonly event: AdmissionEvent;
  readonly verdicts: readonly Verdict[];
  readonly now: number;
}

/** A clock and a state that events are applied to, with ticks when due. */
export interface Harness {
  readonly apply: (event: AdmissionEvent) => readonly Verdict[];
  readonly advance: (ms: number) => void;
  readonly state: () => AdmissionState;
  readonly now: () => number;
}

/** Creates a bench; `observe` sees each applied event. */
export function createHarness(
  slots: number,
  settings: Parameters,
  observe: (applied: AppliedEvent) => void = () => {},
): Harness {
  let state = createState(slots, settings);
  let now = 0;
  const apply = (event: AdmissionEvent) => {
    const before = state;
    const transition = decide(before, event, now);
    state = transition.state;
    observe({before, state, event, verdicts: transition.verdicts, now});
    return transition.verdicts;
  };
  const advance = (ms: number) => {
    const end = now + ms;
    for (;;) {
      const at = nextTickAt(state, now);
      if (at > end) break;
      now = Math.max(now, at);
      apply({kind: 'tick'});
    }
    now = end;
  };
  return {apply, advance, state: () => state, now: () => now};
}

/** Ids of the admitted among some verdicts. */
export function admittedIds(verdicts: readonly Verdict[]): readonly number[] {
  return verdicts
    .filter(verdict => verdict.kind === 'admitted')
    .map(verdict => verdict.request.id);
}
