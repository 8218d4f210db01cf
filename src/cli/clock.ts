/** The time as a command sees it. */
export interface Clock {
  /** Time in milliseconds since the epoch. */
  readonly now: () => number;
  readonly sleep: (timeMs: number) => Promise<void>;
}

/** The time of the process. */
export const SYSTEM_CLOCK: Clock = {
  now: () => Date.now(),
  sleep: timeMs => new Promise(resolve => setTimeout(resolve, timeMs)),
};
