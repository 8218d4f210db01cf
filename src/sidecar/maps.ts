import {rangesKey, type FleetView, type StoredChange} from '../fleet/index.js';
import {EMPTY_MAP, parseMap, type RangeMap} from '../ranges/index.js';
import {
  AnswerLostError,
  UnavailableError,
  updateFrom,
  type ObjectStore,
  type StoredObject,
} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** How range maps are read and written. */
export interface MapAccess {
  readonly store: ObjectStore;
  readonly view: () => FleetView;
  /** Takes a change that was seen outside the watch. */
  readonly learn: (change: StoredChange) => void;
  readonly log: Log;
}

/**
 * Reads a map from the store, past all copies.
 *
 * @returns undefined when the store does not answer or the map is malformed.
 *
 * @example
 * const map = await confirmMap(access, 'stock');
 */
export async function confirmMap(
  access: MapAccess,
  service: string,
): Promise<RangeMap | undefined> {
  const key = rangesKey(service);
  try {
    const object = await access.store.get(key);
    if (!object) return EMPTY_MAP;
    access.learn(object);
    const map = parseMap(object.value);
    return 'problem' in map ? undefined : map;
  } catch (error) {
    if (!(error instanceof UnavailableError)) throw error;
    const {message} = error;
    access.log(SIDECAR_EVENTS.notConfirmed, {service, message});
    return undefined;
  }
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
  const key = rangesKey(service);
  const known = access.view().maps.get(service);
  const current: StoredObject | undefined = known?.version
    ? {key, value: JSON.stringify(known.value), version: known.version}
    : undefined;
  const next = (object: StoredObject | undefined) => {
    const map = object ? parseMap(object.value) : EMPTY_MAP;
    if ('problem' in map) return undefined;
    const changed = change(map);
    return changed === map ? undefined : JSON.stringify(changed);
  };
  try {
    const result = await updateFrom(
      access.store,
      key,
      current,
      next,
      () => false,
    );
    if (result.object) access.learn(result.object);
    if (result.kind === 'stored') {
      const {version} = result.object;
      access.log(SIDECAR_EVENTS.mapChanged, {service, purpose, version});
    }
    if (result.kind === 'conflict') return undefined;
    if (!result.object) return EMPTY_MAP;
    const map = parseMap(result.object.value);
    return 'problem' in map ? undefined : map;
  } catch (error) {
    const isKnown =
      error instanceof UnavailableError || error instanceof AnswerLostError;
    if (!isKnown) throw error;
    const {message} = error;
    access.log(SIDECAR_EVENTS.writeFailed, {key, purpose, message});
    return undefined;
  }
}
