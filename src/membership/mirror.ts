/** One object of the platform as a daemon knows it. */
export interface MirrorEntry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  /** Received through the feed, so that others may be told of it. */
  readonly isFromFeed: boolean;
}

/** The platform's objects as a daemon knows them. Versions only grow. */
export interface Mirror {
  readonly entries: ReadonlyMap<string, MirrorEntry>;
  /** Every object up to this revision has been received through the feed. */
  readonly revision: number;
}

/** An object as received. */
export interface ReceivedObject {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** A new mirror and the entries whose values changed. */
export interface MirrorStep {
  readonly mirror: Mirror;
  readonly changed: readonly MirrorEntry[];
}

/**
 * Returns a mirror that knows nothing.
 *
 * @example
 * let mirror = emptyMirror();
 */
export function emptyMirror(): Mirror {
  return {entries: new Map(), revision: 0};
}

/**
 * Applies objects of a feed, which come by ascending version. An object that is
 * not newer than the known one changes nothing.
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
 * Applies an object that this daemon wrote or read itself. It is not told to
 * others before the feed has brought it, since older ones may still be missing.
 *
 * @example
 * const {mirror, changed} = applyOwn(before, {key, value, version: 8});
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
 * Returns the entries newer than a revision that others may be told of.
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
