/** Lets many wait for the next change of something. */
export interface ChangeSignal {
  /** Resolves at the next change. */
  readonly nextChange: () => Promise<void>;
  readonly notify: () => void;
}

/**
 * Creates a signal.
 *
 * @example
 * const signal = createSignal();
 * const waiting = signal.next();
 * signal.raise(); // waiting resolves
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
  };
}
