/** A fixed number of slots, acquired in order of arrival. */
export interface Slots {
  /** Resolves once a slot is acquired. */
  readonly acquire: () => Promise<void>;
  readonly release: () => void;
  readonly inUse: () => number;
  readonly queued: () => number;
}

/**
 * Creates a set of slots.
 *
 * @throws {RangeError} when the count is not a positive integer.
 *
 * @example
 * const slots = createSlots(1);
 * await slots.acquire();
 * slots.inUse(); // 1
 */
export function createSlots(count: number): Slots {
  if (!Number.isInteger(count) || count < 1) {
    throw new RangeError(`slots: expected a positive integer, found ${count}`);
  }
  const waiting: Array<() => void> = [];
  let inUse = 0;
  return {
    acquire: async () => {
      if (inUse < count) {
        inUse += 1;
        return;
      }
      await new Promise<void>(resolve => waiting.push(resolve));
    },
    release: () => {
      const next = waiting.shift();
      if (next) next();
      else inUse -= 1;
    },
    inUse: () => inUse,
    queued: () => waiting.length,
  };
}
