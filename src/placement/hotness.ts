/** Share of its owner's slots from which a key gets a slice of its own. */
export const HOT_KEY_SHARE = 0.15;

/** Share of its owner's slots below which a key with its own slice is cool. */
export const COOL_KEY_SHARE = 0.05;

/** Time for which a key has to stay cool before it is given back. */
export const MIN_COOL_MS = 5 * 60_000;

/** Load of one key, as measured by its owner. */
export interface KeyLoad {
  readonly key: string;
  /** Mean number of the owner's slots that the key's requests occupied. */
  readonly load: number;
}

/** What is remembered of keys with a slice of their own. */
export interface CoolKeys {
  /** Time since which a key has been cool; absent while it is not. */
  readonly coolSince: ReadonlyMap<string, number>;
}

/** What the choice of hot keys depends on. */
export interface HotKeyInput {
  readonly now: number;
  /** Slots of the owner. */
  readonly slots: number;
  /** Loads of the heaviest keys; a key that is not listed has none. */
  readonly keys: readonly KeyLoad[];
  /** Keys of this owner that have a slice of their own. */
  readonly isolated: readonly string[];
}

/** Keys to isolate and to return, and what to remember. */
export interface HotKeyPlan {
  readonly coolKeys: CoolKeys;
  readonly toIsolate: readonly string[];
  readonly toReturn: readonly string[];
}

/** Nothing remembered yet. */
export const NO_COOL_KEYS: CoolKeys = {coolSince: new Map()};

/**
 * Chooses the keys of one owner that are to get a slice of their own, heaviest
 * first, and those that have been cool for long enough to be given back. The
 * two limits are far apart, so that a key does not come and go.
 *
 * @throws {RangeError} when the owner has no slots.
 *
 * @example
 * chooseHotKeys(NO_HEAT, {now, slots: 12, keys, isolated: []}).isolate;
 */
export function chooseHotKeys(
  coolKeys: CoolKeys,
  input: HotKeyInput,
): HotKeyPlan {
  const {now, slots, keys, isolated} = input;
  if (!(slots > 0)) throw new RangeError(`owner has no slots: ${slots}`);
  const loads = new Map(keys.map(({key, load}) => [key, load]));
  const hot = keys
    .filter(k => k.load >= HOT_KEY_SHARE * slots && !isolated.includes(k.key))
    .toSorted((a, b) => b.load - a.load);
  const cool = isolated.filter(
    key => (loads.get(key) ?? 0) < COOL_KEY_SHARE * slots,
  );
  const coolSince = new Map(
    cool.map(key => [key, coolKeys.coolSince.get(key) ?? now]),
  );
  const toReturn = cool.filter(
    key => now - (coolSince.get(key) ?? now) >= MIN_COOL_MS,
  );
  return {
    coolKeys: {coolSince},
    toIsolate: hot.map(k => k.key),
    toReturn: toReturn,
  };
}
