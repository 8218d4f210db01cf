import {EventEmitter} from 'node:events';
import {fromEvent, merge, periodic} from 'most';
import type {Effect, Input, State, Step} from '../ownership/index.js';
import {decide} from '../ownership/index.js';

/** Time between two ticks, in milliseconds. */
export const TICK_MS = 25;

/** The single loop that applies inputs to the ownership state. */
export interface Loop {
  /** Applies an input at once. */
  readonly dispatch: (input: Input) => void;
  readonly state: () => State;
  /** Resolves when the loop has ended, rejects when a decision failed. */
  readonly ended: Promise<void>;
  readonly stop: () => void;
}

/** What a loop needs. */
export interface LoopOptions {
  readonly initial: State;
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  /** Slices that have requests in flight. */
  readonly busy: () => ReadonlySet<string>;
  readonly run: (effects: readonly Effect[], state: State) => void;
}

/**
 * Starts a loop: inputs and ticks are merged into one stream, folded through
 * the decisions, and the effects of each step are run.
 *
 * @example
 * const loop = startLoop({initial, clock, busy, run});
 * loop.dispatch({kind: 'drain'});
 */
export function startLoop(options: LoopOptions): Loop {
  const {initial, clock, busy, run} = options;
  const emitter = new EventEmitter();
  let current = initial;
  const inputs = fromEvent<Input>('input', emitter);
  const ticks = periodic(TICK_MS).map((): Input => ({
    kind: 'tick',
    busy: busy(),
  }));
  const apply = (step: Step, input: Input) => {
    const next = decide(step.state, input, clock());
    current = next.state;
    return next;
  };
  const first: Step = {state: initial, effects: []};
  const ended = merge(inputs, ticks)
    .until(fromEvent('stop', emitter))
    .scan(apply, first)
    .observe(step => run(step.effects, step.state));
  return {
    dispatch: input => void emitter.emit('input', input),
    state: () => current,
    ended: ended.then(() => undefined),
    stop: () => void emitter.emit('stop'),
  };
}
