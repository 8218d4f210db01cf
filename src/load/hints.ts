import type {Address} from '../model/index.js';

/** A bounded memory of the owners that answers have named. */
export interface OwnerHints {
  readonly find: (key: string) => Address | undefined;
  readonly record: (key: string, owner: Address) => void;
  readonly remove: (key: string) => void;
  readonly size: () => number;
}

/**
 * Creates a memory of owners by key prefix. The prefix that was learned
 * longest ago is forgotten first.
 *
 * @param limit Number of prefixes that are kept; 0 keeps none.
 * @param prefixLength Characters of a key that share one owner in this memory.
 *
 * @example
 * const hints = createHints(1000, 64);
 * hints.learn('night-desk', {host: '127.0.0.1', port: 80});
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
