import type {
  Change,
  Listing,
  StoredObject,
  WriteResult,
} from '../../src/store/store.js';

/** Number of past changes that are kept for watches. */
const HISTORY_LENGTH = 4096;

/** Maximum length of a value's JSON text. */
export const MAX_VALUE_BYTES = 1024 * 1024;

/** The objects of the platform at one revision. */
export interface Store {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, StoredObject>;
  /** Most recent changes, by ascending version. */
  readonly history: readonly Change[];
}

/** A conditional write; deletes the object if the value is missing. */
export interface Write {
  readonly key: string;
  readonly value?: string;
  /** Required version of the object; 0 requires that it does not exist. */
  readonly expected: number;
}

/** The store after a write, the result, and the change if one was made. */
export interface WriteOutcome {
  readonly store: Store;
  readonly result: WriteResult;
  readonly change?: Change;
}

/** A store without objects. */
export const EMPTY_STORE: Store = {
  revision: 0,
  objects: new Map(),
  history: [],
};

/**
 * Applies a conditional write.
 *
 * @example
 * applyWrite(EMPTY_STORE, {key: 'a', value: '1', expected: 0}).store.revision; // 1
 */
export function applyWrite(store: Store, write: Write): WriteOutcome {
  const current = store.objects.get(write.key);
  const isMissing = write.value === undefined && current === undefined;
  if ((current?.version ?? 0) !== write.expected || isMissing) {
    return {store, result: {kind: 'conflict', current}};
  }
  const version = store.revision + 1;
  const change: Change = {key: write.key, value: write.value, version};
  const next: Store = {
    revision: version,
    objects: withChange(store.objects, change),
    history: [...store.history.slice(1 - HISTORY_LENGTH), change],
  };
  return {store: next, result: {kind: 'stored', version}, change};
}

function withChange(
  objects: ReadonlyMap<string, StoredObject>,
  {key, value, version}: Change,
): ReadonlyMap<string, StoredObject> {
  const next = new Map(objects);
  if (value === undefined) next.delete(key);
  else next.set(key, {key, value, version});
  return next;
}

/**
 * Lists the objects under a prefix by ascending key.
 *
 * @example
 * listObjects(EMPTY_STORE, 'members/'); // {revision: 0, objects: []}
 */
export function listObjects(store: Store, prefix: string): Listing {
  const found = [...store.objects.values()].filter(o =>
    o.key.startsWith(prefix),
  );
  found.sort((a, b) => (a.key < b.key ? -1 : 1));
  return {revision: store.revision, objects: found};
}

/**
 * Returns the changes under a prefix after a revision. Returns undefined if the
 * revision is older than the kept history or not one of this store.
 *
 * @example
 * changesAfter(EMPTY_STORE, '', 0); // []
 */
export function changesAfter(
  store: Store,
  prefix: string,
  after: number,
): readonly Change[] | undefined {
  const oldest = store.revision - store.history.length;
  if (after < oldest || after > store.revision) return undefined;
  return store.history.filter(
    change => change.version > after && change.key.startsWith(prefix),
  );
}
