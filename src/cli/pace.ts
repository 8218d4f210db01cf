/** The time as a command sees it. */
export interface Pace {
  /** Time in milliseconds since the epoch. */
  readonly now: () => number;
  readonly sleep: (timeMs: number) => Promise<void>;
}

/** The time of the process. */
export const PROCESS_PACE: Pace = {
  now: () => Date.now(),
  sleep: timeMs => new Promise(resolve => setTimeout(resolve, timeMs)),
};
