import {EventEmitter} from 'node:events';
import {fromEvent} from 'most';
import type {Stream} from 'most';
import type {Input} from '../ownership/index.js';

/** Passes inputs from the parts of a daemon to its loop. */
export interface Inbox {
  /** Dispatches an input, which the loop applies synchronously. */
  readonly dispatch: (input: Input) => void;
  readonly inputs: Stream<Input>;
}

/**
 * Creates an inbox. Inputs that arrive before the loop runs are dropped.
 *
 * @example
 * const inbox = createInbox();
 * inbox.dispatch({kind: 'drain'});
 */
export function createInbox(): Inbox {
  const emitter = new EventEmitter();
  return {
    dispatch: input => void emitter.emit('input', input),
    inputs: fromEvent<Input>('input', emitter),
  };
}
