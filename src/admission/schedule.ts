/** Runs a function after a delay. Returns a function that cancels it. */
export type Schedule = (delayMs: number, run: () => void) => () => void;

/**
 * Runs a function after a delay. The timer does not keep the process alive.
 *
 * @example
 * const cancel = scheduleTimeout(200, () => queue.tick());
 */
export function scheduleTimeout(delayMs: number, run: () => void): () => void {
  const timer = setTimeout(run, delayMs);
  timer.unref();
  return () => clearTimeout(timer);
}
