import type {Address} from '../model/index.js';

/** Bounded cache of key owners reported by answers. */
export interface OwnerHints {
  readonly find: (key: string) => Address | undefined;
  readonly record: (key: string, owner: Address) => void;
  readonly remove: (key: string) => void;
  readonly size: () => number;
}

/**
 * Creates a cache of owners by key prefix, which evicts the least recently
 * recorded prefix first.
 *
 * @param limit Largest number of cached prefixes; 0 disables the cache.
 * @param prefixLength Length of the prefix; keys with the same prefix share one
 * cached owner.
 *
 * @example
 * const hints = createOwnerHints(1000, 64);
 * hints.record('night-desk', {host: '127.0.0.1', port: 80});
 * hints.find('night-desk'); // {host: '127.0.0.1', port: 80}
 */
export function createOwnerHints(
  limit: number,
  prefixLength: number,
): OwnerHints {
  const owners = new Map<string, Address>();
  const prefixOf = (key: string) => key.slice(0, prefixLength);
  return {
    find: key => owners.get(prefixOf(key)),
    record: (key, owner) => {
      if (limit < 1) return;
      const prefix = prefixOf(key);
      owners.delete(prefix);
      owners.set(prefix, owner);
      if (owners.size > limit) {
        for (const oldest of owners.keys()) {
          owners.delete(oldest);
          break;
        }
      }
    },
    remove: key => {
      owners.delete(prefixOf(key));
    },
    size: () => owners.size,
  };
}
