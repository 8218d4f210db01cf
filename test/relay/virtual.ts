interface Timer {
  readonly at: number;
  readonly run: () => void;
}

/** Time that passes only when it is told to. */
export interface VirtualTime {
  readonly now: () => number;
  /** Runs a function after a delay; calling the result prevents it. */
  readonly after: (delayMs: number, run: () => void) => () => void;
  /** Lets time pass and runs what falls due, with the promises that follow. */
  readonly advance: (timeMs: number) => Promise<void>;
}

/**
 * Creates a virtual time that begins at 0.
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
