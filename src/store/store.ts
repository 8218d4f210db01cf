/** An object as stored by the platform's object API. */
export interface StoredObject {
  readonly key: string;
  /** JSON text of the value. */
  readonly value: string;
  /**
   * Version of the store at which the object last changed: its era and its revision
   * (`versionOf`).
   */
  readonly version: number;
}

/** One change reported by a watch. A deleted object has no value. */
export interface Change {
  readonly key: string;
  readonly value?: string;
  readonly version: number;
}

/** All objects under a prefix, as of one version of the store. */
export interface Listing {
  readonly revision: number;
  readonly objects: readonly StoredObject[];
}

/** Result of a conditional write whose response was received. */
export type WriteResult =
  | {readonly kind: 'stored'; readonly version: number}
  | {readonly kind: 'conflict'; readonly current?: StoredObject};

/**
 * The platform's object API. Each method rejects with `UnavailableError` if the
 * call certainly had no effect, and with `AnswerLostError` if a write may have
 * taken effect.
 */
export interface ObjectStore {
  /**
   * Returns the known era of the store, which rises when it comes back from an
   * older copy. Missing if the store never does.
   */
  readonly era?: () => number;
  readonly get: (key: string) => Promise<StoredObject | undefined>;
  readonly list: (prefix: string) => Promise<Listing>;
  /** Writes if the version of the object is `expected`; 0 if it must not exist. */
  readonly put: (
    key: string,
    value: string,
    expected: number,
  ) => Promise<WriteResult>;
  readonly delete: (key: string, expected: number) => Promise<WriteResult>;
  /**
   * Yields changes under a prefix that are newer than a revision, until aborted.
   * `isAwaited` returns whether work waits for a change; while none does, changes
   * may be gathered for longer.
   */
  readonly watch: (
    prefix: string,
    after: number,
    signal: AbortSignal,
    isAwaited?: () => boolean,
  ) => AsyncIterable<Change>;
}
