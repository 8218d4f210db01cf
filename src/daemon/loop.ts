import {EventEmitter} from 'node:events';
import {fromEvent, merge, periodic} from 'most';
import type {Effect, Input, State, Step} from '../ownership/index.js';
import {decide} from '../ownership/index.js';
import type {Inbox} from './inbox.js';

/** Interval between two ticks. */
export const TICK_INTERVAL_MS = 25;

/** Event loop of a daemon, the only place where the ownership state changes. */
export interface Loop {
  readonly state: () => State;
  /**
   * Applies inputs and runs effects until stopped; rejects when a decision
   * throws.
   */
  readonly run: (
    runEffects: (effects: readonly Effect[], state: State) => void,
  ) => Promise<void>;
  readonly stop: () => void;
}

/** Options of a loop. */
export interface LoopOptions {
  readonly initial: State;
  readonly inbox: Inbox;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Returns the slices that have requests in flight. */
  readonly busySlices: () => ReadonlySet<string>;
}

/**
 * Creates a loop. It merges inputs and ticks into one stream, applies each to
 * the state with `decide` and runs the effects of each step.
 *
 * @example
 * const loop = createLoop({initial, inbox, clock, busySlices});
 * loop.run(effects => console.log(effects));
 */
export function createLoop(options: LoopOptions): Loop {
  const {initial, inbox, clock, busySlices} = options;
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
