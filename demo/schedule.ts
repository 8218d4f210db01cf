/** When a step of a run starts. */
export interface ScheduledStep {
  /** Earliest start, relative to the start of the schedule. */
  readonly atMs: number;
  readonly name: string;
  /** Names of earlier steps that must have ended before. */
  readonly after?: readonly string[];
}

/**
 * Runs steps at their times, each not before the steps that it comes after have
 * ended, successfully or not.
 *
 * @param sleep Resolves after a time in milliseconds.
 * @returns the name and error of each step that failed.
 *
 * @example
 * const failures = await runSchedule(SCENARIOS, ({run}) => run(context), sleep);
 */
export async function runSchedule<T extends ScheduledStep>(
  steps: readonly T[],
  run: (step: T) => Promise<void>,
  sleep: (timeMs: number) => Promise<unknown>,
): Promise<readonly string[]> {
  const failures: string[] = [];
  const ended = new Map<string, Promise<void>>();
  for (const step of steps) {
    const {name, atMs, after = []} = step;
    const earlier = after.map(other => endOf(ended, other));
    const runInTurn = async () => {
      await Promise.all([sleep(atMs), ...earlier]);
      try {
        await run(step);
      } catch (error) {
        failures.push(`${name}: ${(error as Error).message}`);
      }
    };
    ended.set(name, runInTurn());
  }
  await Promise.all(ended.values());
  return failures;
}

function endOf(
  ended: ReadonlyMap<string, Promise<void>>,
  name: string,
): Promise<void> {
  const end = ended.get(name);
  if (!end) throw new RangeError(`no earlier step is named ${name}`);
  return end;
}
