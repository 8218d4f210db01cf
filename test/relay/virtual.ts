interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Virtual time that a test advances. */
export interface VirtualTime {
  readonly now: () => number;
  /** Schedules a function; the result cancels it. */
  readonly after: (delayMs: number, run: () => void) => () => void;
  /**
   * Advances the time, runs the timers that are due and the promises that
   * follow.
   */
  readonly advance: (timeMs: number) => Promise<void>;
}

/**
 * Creates a virtual time that starts at 0.
 *
 * @example
 * const {after, advance, now} = createVirtualTime();
 */
export function createVirtualTime(): VirtualTime {
  let now = 0;
  let timers: Timer[] = [];
  const after = (delayMs: number, run: () => void) => {
    const timer = {at: now + delayMs, run};
    timers.push(timer);
    return () => (timers = timers.filter(other => other !== timer));
  };
  const advance = async (timeMs: number) => {
    now += timeMs;
    const due = timers.filter(timer => timer.at <= now);
    timers = timers.filter(timer => timer.at > now);
    due.forEach(timer => timer.run());
    for (let turn = 0; turn < 6; turn++) await Promise.resolve();
  };
  return {after, advance, now: () => now};
}
