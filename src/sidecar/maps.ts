import {rangesKey, type FleetView, type StoredChange} from '../fleet/index.js';
import {EMPTY_MAP, parseMap, type RangeMap} from '../ranges/index.js';
import {
  UnavailableError,
  type ObjectStore,
  type StoredObject,
} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';
import {writeFromView} from './fleetwrite.js';

/** How range maps are read and written. */
export interface MapAccess {
  readonly store: ObjectStore;
  readonly view: () => FleetView;
  /** Takes a change that was seen outside the watch. */
  readonly observeChange: (change: StoredChange) => void;
  readonly log: Log;
  /** Lets other daemons read the map where the store does not answer this one. */
  readonly readThroughPeer: (
    service: string,
  ) => Promise<StoredObject | undefined>;
}

/** Time without an answer after which another daemon is asked as well. */
const HEDGE_DELAY_MS = 250;

/**
 * Reads a map from the store, past all copies. Where a newer one became known
 * meanwhile, that one is returned.
 *
 * @returns undefined when the store does not answer or the map is malformed.
 *
 * @example
 * const map = await confirmMap(access, 'stock');
 */
export async function readLatestMap(
  access: MapAccess,
  service: string,
): Promise<RangeMap | undefined> {
  const object = await readMapHedged(access, service);
  if (!object) return undefined;
  access.observeChange(object);
  const known = access.view().maps.get(service);
  if (known && known.version > object.version) return known.value;
  return decodeMap(object);
}

/** Returns the map of an object, or undefined when it is malformed. */
function decodeMap({value}: StoredObject): RangeMap | undefined {
  const map = parseMap(value);
  return 'problem' in map ? undefined : map;
}

/** Reads from the store, and through another daemon where that takes long. */
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
 * Reads a map from the store itself.
 *
 * @throws {UnavailableError} when the store does not answer.
 *
 * @example
 * const object = await readOwnMap(access, 'stock');
 */
export async function readMapFromStore(
  access: Pick<MapAccess, 'store'>,
  service: string,
): Promise<StoredObject> {
  const key = rangesKey(service);
  const object = await access.store.get(key);
  return object ?? {key, value: JSON.stringify(EMPTY_MAP), version: 0};
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
 * Changes a map under the condition that nobody changed it meanwhile.
 *
 * @param change Computes the next map; the same one leaves the store as it is.
 * @returns the map as the store has it, or undefined when that is not known.
 *
 * @example
 * await changeMap(access, 'stock', 'revoke', map => revoke(map, life));
 */
export async function changeMap(
  access: MapAccess,
  service: string,
  purpose: string,
  change: (map: RangeMap) => RangeMap,
): Promise<RangeMap | undefined> {
  const next = (object: StoredObject | undefined) => {
    const map = object ? decodeMap(object) : EMPTY_MAP;
    if (!map) return undefined;
    const changed = change(map);
    return changed === map ? undefined : JSON.stringify(changed);
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
    access.log(SIDECAR_EVENTS.mapChanged, {service, purpose, version});
  }
  return result.object ? decodeMap(result.object) : EMPTY_MAP;
}
