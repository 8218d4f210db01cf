/** Lets many wait for the next change of something. */
export interface Signal {
  /** Resolves at the next change. */
  readonly next: () => Promise<void>;
  readonly raise: () => void;
}

/**
 * Creates a signal.
 *
 * @example
 * const signal = createSignal();
 * const waiting = signal.next();
 * signal.raise(); // waiting resolves
 */
export function createSignal(): Signal {
  let promise: Promise<void> | undefined;
  let resolve = () => {};
  return {
    next: () => (promise ??= new Promise(done => (resolve = done))),
    raise: () => {
      promise = undefined;
      resolve();
    },
  };
}
