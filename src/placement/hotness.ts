/** Load, as a share of the owner's slots, from which a key is isolated. */
export const HOT_KEY_SHARE = 0.15;

/**
 * Load, as a share of the owner's slots, below which an isolated key is cool.
 */
export const COOL_KEY_SHARE = 0.05;

/** Time for which a key must stay cool before it returns to its home slice. */
export const MIN_COOL_MS = 5 * 60_000;

/** Load of one key, as measured by its owner. */
export interface KeyLoad {
  readonly key: string;
  /** Mean number of the owner's slots that the key's requests occupied. */
  readonly load: number;
}

/** Isolated keys that are cool. */
export interface CoolKeys {
  /** Time since which each key has been cool, in milliseconds. */
  readonly coolSince: ReadonlyMap<string, number>;
}

/** Input of the choice of hot keys. */
export interface HotKeyInput {
  readonly now: number;
  /** Number of slots of the owner. */
  readonly slots: number;
  /** Loads of the heaviest keys; any other key counts as unloaded. */
  readonly keys: readonly KeyLoad[];
  /** Keys of this owner that have their own slice. */
  readonly isolated: readonly string[];
}

/** Keys to isolate and to return, and the cool keys for the next call. */
export interface HotKeyPlan {
  readonly coolKeys: CoolKeys;
  readonly toIsolate: readonly string[];
  readonly toReturn: readonly string[];
}

/** State before the first choice. */
export const NO_COOL_KEYS: CoolKeys = {coolSince: new Map()};

/**
 * Chooses the keys of one owner to isolate in a slice of their own, heaviest
 * first, and the keys that have been cool for long enough to return to their
 * home slice. The two limits are far apart, so that keys do not alternate.
 *
 * @throws {RangeError} when the owner has no slots.
 *
 * @example
 * chooseHotKeys(NO_COOL_KEYS, {now, slots: 12, keys, isolated: []}).isolated;
 */
export function chooseHotKeys(
  coolKeys: CoolKeys,
  input: HotKeyInput,
): HotKeyPlan {
  const {now, slots, keys, isolated} = input;
  if (!(slots > 0))
    throw new RangeError(`expected an owner with slots, got ${slots}`);
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
  return {coolKeys: {coolSince}, toIsolate: hot.map(k => k.key), toReturn};
}
