/** Moving estimate of the slots that the arrivals of one class would fill. */
export interface Demand {
  readonly priority: number;
  readonly slots: number;
  readonly updatedAt: number;
}

const DECAY_TIME_MS = 1000;

/**
 * Returns the demand after a request arrived that takes `workMs`.
 *
 * @example
 * observeDemand([], 1, 50, 0); // [{priority: 1, slots: 0.05, updatedAt: 0}]
 */
export function observeDemand(
  demand: readonly Demand[],
  priority: number,
  workMs: number,
  now: number,
): readonly Demand[] {
  const old = demand.find(entry => entry.priority === priority);
  const before = old ? slotsAt(old, now) : 0;
  const slots = before + workMs / DECAY_TIME_MS;
  const others = demand.filter(entry => entry !== old);
  return [...others, {priority, slots, updatedAt: now}];
}

/**
 * Returns the slots that the classes above a class would fill.
 *
 * @example
 * demandAbove([{priority: 1, slots: 2, updatedAt: 0}], 2, 0); // 2
 */
export function demandAbove(
  demand: readonly Demand[],
  priority: number,
  now: number,
): number {
  let slots = 0;
  for (const entry of demand) {
    if (entry.priority < priority) slots += slotsAt(entry, now);
  }
  return slots;
}

function slotsAt(entry: Demand, now: number): number {
  return entry.slots * Math.exp((entry.updatedAt - now) / DECAY_TIME_MS);
}
