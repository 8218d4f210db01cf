/** A platform object as known to this daemon. */
export interface MirrorEntry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  /**
   * Whether the object was received through the feed, so that it may be
   * forwarded to other daemons.
   */
  readonly isFromFeed: boolean;
}

/** The platform objects known to this daemon. Versions only increase. */
export interface Mirror {
  readonly entries: ReadonlyMap<string, MirrorEntry>;
  /** Revision up to which every object has been received through the feed. */
  readonly revision: number;
}

/** A platform object as received. */
export interface ReceivedObject {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** An updated mirror and the entries whose values changed. */
export interface MirrorStep {
  readonly mirror: Mirror;
  readonly changed: readonly MirrorEntry[];
}

/**
 * Creates an empty mirror.
 *
 * @example
 * let mirror = emptyMirror();
 */
export function emptyMirror(): Mirror {
  return {entries: new Map(), revision: 0};
}

/**
 * Applies objects received through the feed, which arrive in ascending order of
 * version. An object older than the known one is ignored; one of the same
 * version is marked as received through the feed and not reported as changed.
 *
 * @example
 * const {mirror, changed} = applyFeed(emptyMirror(), [{key: 'a', value: '1', version: 7}]);
 */
export function applyFeed(
  mirror: Mirror,
  objects: readonly ReceivedObject[],
): MirrorStep {
  const entries = new Map(mirror.entries);
  const changed: MirrorEntry[] = [];
  let {revision} = mirror;
  for (const object of objects) {
    revision = Math.max(revision, object.version);
    const known = entries.get(object.key);
    if (known && known.version > object.version) continue;
    const entry = {...object, isFromFeed: true};
    entries.set(object.key, entry);
    if (known?.version !== object.version) changed.push(entry);
  }
  return {mirror: {entries, revision}, changed};
}

/**
 * Applies an object that this daemon wrote or read directly. It is not
 * forwarded to other daemons until the feed delivers it, because older objects
 * may still be missing.
 *
 * @example
 * const {mirror, changed} = applyDirect(before, {key, value, version: 8});
 */
export function applyDirect(
  mirror: Mirror,
  object: ReceivedObject,
): MirrorStep {
  const known = mirror.entries.get(object.key);
  if (known && known.version >= object.version) return {mirror, changed: []};
  const entry = {...object, isFromFeed: false};
  const entries = new Map(mirror.entries).set(object.key, entry);
  return {mirror: {...mirror, entries}, changed: [entry]};
}

/**
 * Returns the entries newer than a revision that may be forwarded, by ascending
 * version.
 *
 * @example
 * for (const {key, value} of entriesAfter(mirror, 41)) send(key, value);
 */
export function entriesAfter(
  mirror: Mirror,
  revision: number,
): readonly MirrorEntry[] {
  const newer = [...mirror.entries.values()].filter(
    entry => entry.isFromFeed && entry.version > revision,
  );
  return newer.sort((a, b) => a.version - b.version);
}
