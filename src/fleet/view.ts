import {EMPTY_MAP, parseMap, type RangeMap} from '../ranges/index.js';
import {parseMember, type Member} from './member.js';

/** Prefix of all objects of the fleet in the store. */
export const FLEET_PREFIX = 'fleet/';

const MEMBER_PREFIX = `${FLEET_PREFIX}member.`;
const RANGES_PREFIX = `${FLEET_PREFIX}ranges.`;

/**
 * Returns the store's key for the registration beside a daemon.
 *
 * @example
 * memberKey('10.1.0.8:7620'); // 'fleet/member.10.1.0.8:7620'
 */
export function memberKey(node: string): string {
  return MEMBER_PREFIX + node;
}

/**
 * Returns the store's key for the map of a service.
 *
 * @example
 * rangesKey('stock'); // 'fleet/ranges.stock'
 */
export function rangesKey(service: string): string {
  return RANGES_PREFIX + service;
}

/** A value with the version under which the store keeps it. */
export interface Versioned<T> {
  readonly value: T;
  /** Revision of the last change; 0 when the object does not exist. */
  readonly version: number;
}

/** What a daemon knows of the fleet. */
export interface FleetView {
  /** Registrations by the address of their daemon. */
  readonly members: ReadonlyMap<string, Versioned<Member>>;
  /** Range maps by service. */
  readonly maps: ReadonlyMap<string, Versioned<RangeMap>>;
}

/** The view of a daemon that has heard nothing yet. */
export const EMPTY_VIEW: FleetView = {members: new Map(), maps: new Map()};

/** One object as the store has it; without a value it was deleted. */
export interface StoredChange {
  readonly key: string;
  readonly value?: string;
  readonly version: number;
}

/** A view and what could not be read. */
export interface ViewUpdate {
  readonly view: FleetView;
  readonly problem?: string;
}

/**
 * Applies one change. An older version than the known one changes nothing, and
 * of an object that can't be read the last good value stays.
 *
 * @example
 * const {view, problem} = applyChange(before, change);
 */
export function applyChange(view: FleetView, change: StoredChange): ViewUpdate {
  const {key, value, version} = change;
  if (key.startsWith(MEMBER_PREFIX)) {
    const node = key.slice(MEMBER_PREFIX.length);
    const known = view.members.get(node);
    if (known && known.version >= version) return {view};
    const members = new Map(view.members);
    if (value === undefined) {
      members.delete(node);
      return {view: {...view, members}};
    }
    const member = parseMember(value);
    if ('problem' in member) return {view, problem: member.problem};
    members.set(node, {value: member, version});
    return {view: {...view, members}};
  }
  if (!key.startsWith(RANGES_PREFIX)) return {view};
  const service = key.slice(RANGES_PREFIX.length);
  const known = view.maps.get(service);
  if (known && known.version >= version) return {view};
  const map = value === undefined ? EMPTY_MAP : parseMap(value);
  if ('problem' in map) return {view, problem: map.problem};
  const maps = new Map(view.maps).set(service, {value: map, version});
  return {view: {...view, maps}};
}

/**
 * Applies a complete listing: objects that it lacks are gone.
 *
 * @example
 * applyListing(view, await store.list(FLEET_PREFIX));
 */
export function applyListing(
  view: FleetView,
  objects: readonly StoredChange[],
): {readonly view: FleetView; readonly problems: readonly string[]} {
  const listed = new Set(objects.map(object => object.key));
  const kept = [...view.members].filter(([node]) =>
    listed.has(memberKey(node)),
  );
  let next: FleetView = {...view, members: new Map(kept)};
  const problems: string[] = [];
  for (const object of objects) {
    const update = applyChange(next, object);
    next = update.view;
    if (update.problem) problems.push(`${object.key}: ${update.problem}`);
  }
  return {view: next, problems};
}

/**
 * Returns the members of a service.
 *
 * @example
 * membersOf(view, 'stock').filter(isOpen);
 */
export function membersOf(
  {members}: FleetView,
  service: string,
): readonly Member[] {
  let services = membersByService.get(members);
  if (!services)
    membersByService.set(members, (services = groupByService(members)));
  return services.get(service) ?? [];
}

type Members = FleetView['members'];

/** Members by service of each view, as every request asks for them. */
const membersByService = new WeakMap<
  Members,
  ReadonlyMap<string, readonly Member[]>
>();

function groupByService(members: Members): Map<string, Member[]> {
  const services = new Map<string, Member[]>();
  for (const {value} of members.values()) {
    const known = services.get(value.service);
    if (known) known.push(value);
    else services.set(value.service, [value]);
  }
  return services;
}
