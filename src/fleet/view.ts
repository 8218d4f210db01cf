import {
  parseQuarantine,
  withReleases,
  type StoredQuarantine,
} from '../quarantine/index.js';
import {
  EMPTY_MAP,
  isOutdated,
  isSameIncarnation,
  laterMap,
  parseMap,
  type RangeMap,
} from '../ranges/index.js';
import {eraOf, versionOf, type Listing} from '../store/index.js';
import {incarnationOf, laterState, parseMember, type Member} from './member.js';

/** Key prefix of all fleet objects in the store. */
export const FLEET_PREFIX = 'fleet/';

const MEMBER_PREFIX = `${FLEET_PREFIX}member.`;
const RANGES_PREFIX = `${FLEET_PREFIX}ranges.`;
const QUARANTINE_PREFIX = `${FLEET_PREFIX}quarantine.`;

/**
 * Returns the store key of the registration that a daemon writes.
 *
 * @example
 * memberKey('10.1.0.8:7620'); // 'fleet/member.10.1.0.8:7620'
 */
export function memberKey(node: string): string {
  return MEMBER_PREFIX + node;
}

/**
 * Returns the store key of the range map of a service.
 *
 * @example
 * rangesKey('stock'); // 'fleet/ranges.stock'
 */
export function rangesKey(service: string): string {
  return RANGES_PREFIX + service;
}

/**
 * Returns the store key of the quarantined requests of a service.
 *
 * @example
 * quarantineKey('stock'); // 'fleet/quarantine.stock'
 */
export function quarantineKey(service: string): string {
  return QUARANTINE_PREFIX + service;
}

/** A value with its version in the store. */
export interface Versioned<T> {
  readonly value: T;
  /** Version of the last change; 0 if the object does not exist. */
  readonly version: number;
  /**
   * Whether the store has an earlier value than this one at that version, since it
   * came back from an older copy.
   */
  readonly isUndone?: true;
}

/** Copy of the fleet objects of the store. */
export interface FleetView {
  /** Registrations by the address (`node`) of their daemon. */
  readonly members: ReadonlyMap<string, Versioned<Member>>;
  /** Range maps by service. */
  readonly maps: ReadonlyMap<string, Versioned<RangeMap>>;
  /** Quarantined requests by service. */
  readonly quarantines: ReadonlyMap<string, Versioned<StoredQuarantine>>;
}

/** View of a daemon that has read nothing from the store yet. */
export const EMPTY_VIEW: FleetView = {
  members: new Map(),
  maps: new Map(),
  quarantines: new Map(),
};

/** Current state of a stored object; without `value` if it was deleted. */
export interface StoredChange {
  readonly key: string;
  readonly value?: string;
  readonly version: number;
}

/** A new view, and why a stored object could not be parsed, if so. */
export interface ViewUpdate {
  readonly view: FleetView;
  readonly problem?: string;
}

/**
 * Applies one change of a stored object. A change that is not newer than the
 * known version is ignored. If the new value cannot be parsed, the view keeps
 * the last valid value.
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
    if (member.node !== node)
      return {view, problem: `expected the registration of ${node}`};
    members.set(node, withLaterState(known, {value: member, version}));
    return {view: {...view, members}};
  }
  if (key.startsWith(QUARANTINE_PREFIX)) return applyQuarantine(view, change);
  if (!key.startsWith(RANGES_PREFIX)) return {view};
  const service = key.slice(RANGES_PREFIX.length);
  const known = view.maps.get(service);
  if (known && known.version >= version) return {view};
  const map = value === undefined ? EMPTY_MAP : parseMap(value);
  if ('problem' in map) return {view, problem: map.problem};
  const maps = new Map(view.maps).set(
    service,
    withKnownMap(known?.value, {value: map, version}),
  );
  return {view: {...view, maps}};
}

/**
 * Applies what another daemon knows of an instance: a later state than the store has
 * stays in force, since the store may have undone it.
 *
 * @returns the same view if the instance is not registered, or in no earlier state.
 *
 * @example
 * const next = applyKnownMember(view, member);
 */
export function applyKnownMember(view: FleetView, known: Member): FleetView {
  const stored = view.members.get(known.node);
  if (!stored) return view;
  const member = withKnownState(known, stored);
  if (member === stored) return view;
  const members = new Map(view.members).set(known.node, member);
  return {...view, members};
}

/**
 * Returns a registration whose instance is in no earlier state than is known, if
 * the store may have undone that state. Otherwise its daemon has corrected what
 * another writer had recorded.
 */
function withLaterState(
  known: Versioned<Member> | undefined,
  stored: Versioned<Member>,
): Versioned<Member> {
  if (!known) return stored;
  const isSameEra = eraOf(known.version) === eraOf(stored.version);
  if (isSameEra && !known.isUndone) return stored;
  return withKnownState(known.value, stored);
}

/** Returns a registration whose instance is in no earlier state than is known. */
function withKnownState(
  known: Member,
  stored: Versioned<Member>,
): Versioned<Member> {
  const {value, version} = stored;
  if (!isSameIncarnation(incarnationOf(known), incarnationOf(value)))
    return stored;
  const state = laterState(known.state, value.state);
  if (state === value.state) return stored;
  return {value: {...value, state}, version, isUndone: true};
}

/** Returns a map, or the known one if the stored one is from before it. */
function withKnownMap(
  known: RangeMap | undefined,
  stored: Versioned<RangeMap>,
): Versioned<RangeMap> {
  const {value, version} = stored;
  const latest = laterMap(value, known);
  return latest === value && !isOutdated(value, eraOf(version))
    ? stored
    : {value: latest, version, isUndone: true};
}

function applyQuarantine(
  view: FleetView,
  {key, value, version}: StoredChange,
): ViewUpdate {
  const service = key.slice(QUARANTINE_PREFIX.length);
  const known = view.quarantines.get(service);
  if (known && known.version >= version) return {view};
  const stored = value === undefined ? NO_REQUESTS : parseQuarantine(value);
  if ('problem' in stored) return {view, problem: stored.problem};
  const quarantines = new Map(view.quarantines);
  const inForce = withReleases(stored, known?.value ?? NO_REQUESTS);
  quarantines.set(
    service,
    inForce === stored
      ? {value: stored, version}
      : {value: inForce, version, isUndone: true},
  );
  return {view: {...view, quarantines}};
}

const NO_REQUESTS: StoredQuarantine = {requests: []};

/**
 * Applies a complete listing of the fleet objects. Members without an object in
 * it are removed; maps that the store has lost stay known, and requests that it has
 * lost are not in quarantine there.
 *
 * @example
 * applyListing(view, await store.list(FLEET_PREFIX));
 */
export function applyListing(
  view: FleetView,
  {objects, revision}: Listing,
): {readonly view: FleetView; readonly problems: readonly string[]} {
  const listed = new Set(objects.map(object => object.key));
  const kept = [...view.members].filter(([node]) =>
    listed.has(memberKey(node)),
  );
  let next: FleetView = {...view, members: new Map(kept)};
  const lost = versionOf(eraOf(revision), 0);
  const known = [
    ...[...view.maps.keys()].map(rangesKey),
    ...[...view.quarantines.keys()].map(quarantineKey),
  ];
  for (const key of known) {
    if (!listed.has(key)) next = applyChange(next, {key, version: lost}).view;
  }
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
 * membersOf(view, 'stock').filter(isAcceptingRequests);
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

/**
 * Cache of the members of each view by service, because every request needs
 * them.
 */
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
