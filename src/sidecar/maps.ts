import {
  rangesKey,
  type FleetView,
  type StoredChange,
  type Versioned,
} from '../fleet/index.js';
import {EMPTY_MAP, nextMap, parseMap, type RangeMap} from '../ranges/index.js';
import {
  UnavailableError,
  eraOf,
  versionOf,
  type ObjectStore,
  type StoredObject,
} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';
import {writeFromView} from './fleetwrite.js';

/** Access to the range maps in the store and to the cached fleet view. */
export interface MapAccess {
  readonly store: ObjectStore;
  readonly view: () => FleetView;
  /** Applies a change that became known other than through the watch. */
  readonly observeChange: (change: StoredChange) => void;
  readonly log: Log;
  /**
   * Reads the map through other daemons, for when this daemon gets no response
   * from the store.
   */
  readonly readThroughPeer: (
    service: string,
  ) => Promise<StoredObject | undefined>;
}

/**
 * Time without a response from the store after which the map is also read
 * through another daemon.
 */
const HEDGE_DELAY_MS = 250;

/**
 * Reads the latest map of a service from the store, bypassing caches. Returns
 * the cached map if it has become newer in the meantime.
 *
 * @returns undefined when the store cannot be read or the map is malformed.
 *
 * @example
 * const {value: map, version} = await readLatestMap(access, 'stock');
 */
export async function readLatestMap(
  access: MapAccess,
  service: string,
): Promise<Versioned<RangeMap> | undefined> {
  const object = await readMapHedged(access, service);
  if (!object) return undefined;
  access.observeChange(object);
  return latestOf(access, service, object);
}

/**
 * Returns the cached map if it is of a later version than a stored one, or tells
 * that the store has undone it; otherwise the stored one.
 */
function latestOf(
  access: Pick<MapAccess, 'view'>,
  service: string,
  object: StoredObject,
): Versioned<RangeMap> | undefined {
  const known = access.view().maps.get(service);
  if (known && known.version > object.version) return known;
  const read = decodeMap(object);
  return read && known?.version === read.version ? known : read;
}

/** Returns the map in a stored object, or undefined when it is malformed. */
function decodeMap({
  value,
  version,
}: StoredObject): Versioned<RangeMap> | undefined {
  const map = parseMap(value);
  return 'problem' in map ? undefined : {value: map, version};
}

/** Reads from the store, hedged by a read through another daemon. */
async function readMapHedged(
  access: MapAccess,
  service: string,
): Promise<StoredObject | undefined> {
  let message = '';
  let timer: NodeJS.Timeout | undefined;
  const fromStore = readMapFromStore(access, service).catch(error => {
    if (!(error instanceof UnavailableError)) throw error;
    message = error.message;
    return undefined;
  });
  const hedgeDelay = new Promise<'slow'>(resolve => {
    timer = setTimeout(() => resolve('slow'), HEDGE_DELAY_MS);
  });
  const firstResult = await Promise.race([fromStore, hedgeDelay]);
  clearTimeout(timer);
  if (firstResult !== 'slow' && firstResult) return firstResult;
  const fromPeer = access.readThroughPeer(service);
  const found = await firstDefined([fromStore, fromPeer]);
  if (!found) access.log(SIDECAR_EVENTS.mapReadFailed, {service, message});
  return found;
}

/**
 * Reads a map directly from the store.
 *
 * @throws {UnavailableError} when the store does not answer.
 *
 * @example
 * const object = await readMapFromStore(access, 'stock');
 */
export async function readMapFromStore(
  access: Pick<MapAccess, 'store'>,
  service: string,
): Promise<StoredObject> {
  const key = rangesKey(service);
  const object = await access.store.get(key);
  const version = versionOf(access.store.era?.() ?? 0, 0);
  return object ?? {key, value: JSON.stringify(EMPTY_MAP), version};
}

function firstDefined<T>(
  promises: readonly Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    let pendingCount = promises.length;
    for (const promise of promises) {
      promise.then(value => {
        pendingCount -= 1;
        if (value !== undefined || pendingCount === 0) resolve(value);
      }, reject);
    }
  });
}

/**
 * Changes a map with a conditional write, which fails if the map has changed in
 * the meantime. If the store came back from a copy, the map is put in force again
 * instead, and is not changed otherwise.
 *
 * @param change Computes the next map; returning the same map writes nothing.
 * @returns the map as stored, or undefined when the result of the write is not
 *     known or another write won.
 *
 * @example
 * await changeMap(access, 'stock', 'revoke', map => revoke(map, life));
 */
export async function changeMap(
  access: MapAccess,
  service: string,
  purpose: string,
  change: (map: RangeMap) => RangeMap,
): Promise<Versioned<RangeMap> | undefined> {
  let attempts = 0;
  const next = (object: StoredObject | undefined) => {
    attempts += 1;
    const map = object ? decodeMap(object)?.value : EMPTY_MAP;
    if (!map) return undefined;
    const era = object ? eraOf(object.version) : (access.store.era?.() ?? 0);
    const known = access.view().maps.get(service);
    const undone = known?.isUndone ? known.value : undefined;
    const changed = nextMap(map, era, undone, change);
    if (changed === map) return undefined;
    const {floor} = changed;
    if (floor !== map.floor) {
      access.log(SIDECAR_EVENTS.mapRecovered, {service, era, floor});
    }
    return JSON.stringify(changed);
  };
  const result = await writeFromView(
    access,
    rangesKey(service),
    access.view().maps.get(service),
    purpose,
    next,
    () => false,
  );
  if (!result || result.kind === 'conflict') return undefined;
  if (result.kind === 'stored') {
    const {version} = result.object;
    const fields = {service, purpose, version, attempts};
    access.log(SIDECAR_EVENTS.mapChanged, fields);
  }
  if (result.object) return latestOf(access, service, result.object);
  return access.view().maps.get(service) ?? {value: EMPTY_MAP, version: 0};
}
