import {EventEmitter} from 'node:events';
import {fromEvent, merge, periodic} from 'most';
import type {Effect, Input, State, Step} from '../ownership/index.js';
import {decide} from '../ownership/index.js';
import type {Inbox} from './inbox.js';

/** Time between two ticks, in milliseconds. */
export const TICK_INTERVAL_MS = 25;

/** The single loop that applies inputs to the ownership state. */
export interface Loop {
  readonly state: () => State;
  /** Starts to apply inputs and to run effects; rejects when a decision fails. */
  readonly run: (
    runEffects: (effects: readonly Effect[], state: State) => void,
  ) => Promise<void>;
  readonly stop: () => void;
}

/** What a loop needs. */
export interface LoopOptions {
  readonly initial: State;
  readonly inbox: Inbox;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Slices that have requests in flight. */
  readonly busySlices: () => ReadonlySet<string>;
}

/**
 * Creates a loop: inputs and ticks are merged into one stream, folded through
 * the decisions, and the effects of each step are run.
 *
 * @example
 * const loop = createLoop({initial, inbox, clock, busy});
 * loop.run(effects => console.log(effects));
 */
export function createLoop(options: LoopOptions): Loop {
  const {initial, inbox, clock, busySlices: busySlices} = options;
  const stopEvents = new EventEmitter();
  let current = initial;
  const ticks = periodic(TICK_INTERVAL_MS).map((): Input => ({
    kind: 'tick',
    busySlices: busySlices(),
  }));
  const apply = (step: Step, input: Input) => {
    const next = decide(step.state, input, clock());
    current = next.state;
    return next;
  };
  const first: Step = {state: initial, effects: []};
  return {
    state: () => current,
    run: async runEffects => {
      await merge(inbox.inputs, ticks)
        .until(fromEvent('stop', stopEvents))
        .scan(apply, first)
        .observe(step => runEffects(step.effects, step.state));
    },
    stop: () => void stopEvents.emit('stop'),
  };
}
