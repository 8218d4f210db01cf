/** Runs a function after a delay; calling the result prevents it. */
export type Schedule = (delayMs: number, run: () => void) => () => void;

/**
 * Runs a function after a delay by a timer that keeps no process alive.
 *
 * @example
 * const cancel = scheduleTimeout(200, () => queue.tick());
 */
export function scheduleTimeout(delayMs: number, run: () => void): () => void {
  const timer = setTimeout(run, delayMs);
  timer.unref();
  return () => clearTimeout(timer);
}
