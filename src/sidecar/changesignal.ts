/** Notifies any number of waiters of the next change. */
export interface ChangeSignal {
  /** Resolves at the next change. */
  readonly nextChange: () => Promise<void>;
  readonly notify: () => void;
  /** Returns whether the next change has been waited for since the last one. */
  readonly isAwaited: () => boolean;
}

/**
 * Creates a change signal.
 *
 * @example
 * const signal = createChangeSignal();
 * const waiting = signal.nextChange();
 * signal.notify(); // waiting resolves
 */
export function createChangeSignal(): ChangeSignal {
  let promise: Promise<void> | undefined;
  let resolve = () => {};
  return {
    nextChange: () => (promise ??= new Promise(done => (resolve = done))),
    notify: () => {
      promise = undefined;
      resolve();
    },
    isAwaited: () => promise !== undefined,
  };
}
