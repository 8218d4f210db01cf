import {
  EMPTY_VIEW,
  applyListing,
  applyChange,
  memberKey,
  rangesKey,
  type FleetView,
  type Member,
  type StoredChange,
} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  EMPTY_MAP,
  createMap,
  findTerm,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../../src/ranges/index.js';
import {
  createInstanceManager,
  type Heartbeat,
  type InstanceManager,
  type InstanceManagerContext,
} from '../../src/sidecar/index.js';
import {
  UnavailableError,
  type Listing,
  type ObjectStore,
  type StoredObject,
  type WriteResult,
} from '../../src/store/index.js';
import {parseAddress} from '../../src/model/index.js';
import {createManagerContext} from './contexts.js';

const SERVICE = 'stock';

/** The daemon under test and another one, which is only named in the map. */
export const NODE = '10.1.0.1:7620';
const INSTANCE = '10.1.0.1:8301';
export const OTHER_LIFE: Incarnation = {
  node: '10.1.0.2:7620',
  id: 'i-other',
  born: 1,
};

/** Duration of a lease in these tests. */
export const LEASE_MS = 5000;

/** A call to the store that a test keeps on its way. */
export interface HeldCall {
  /** Resolves when the call has been made. */
  readonly made: Promise<void>;
  /** Lets the call go on. */
  readonly release: () => void;
}

/** A store in memory, some of whose calls are held up or refused. */
export interface HeldStore extends ObjectStore {
  /** Keeps the next write of an object on its way to the store. */
  readonly holdWrite: (key: string) => HeldCall;
  /** Keeps the answer to the next read of an object on its way back. */
  readonly holdAnswer: (key: string) => HeldCall;
  /** Refuses all writes of an object from now on. */
  readonly refuseWrites: (key: string) => void;
  readonly listing: () => Listing;
  readonly map: () => RangeMap;
  /** Changes the map as another daemon would. */
  readonly changeMap: (change: (map: RangeMap) => RangeMap) => void;
  readonly member: () => Member | undefined;
  readonly termAt: (key: number) => RangeTerm;
}

interface Hold extends HeldCall {
  readonly key: string;
  readonly onMade: () => void;
  readonly released: Promise<void>;
}

function createHold(key: string): Hold {
  let onMade = () => {};
  let release = () => {};
  const made = new Promise<void>(resolve => (onMade = resolve));
  const released = new Promise<void>(resolve => (release = resolve));
  return {key, made, onMade, released, release};
}

/**
 * Creates a store whose calls are done at once, but for those held up.
 *
 * @example
 * const store = createHeldStore();
 * const release = store.holdWrite(rangesKey('stock'));
 */
export function createHeldStore(): HeldStore {
  const objects = new Map<string, StoredObject>();
  const refused = new Set<string>();
  let revision = 0;
  let heldWrites: readonly Hold[] = [];
  let heldAnswers: readonly Hold[] = [];

  const write = (key: string, value: string, expected: number): WriteResult => {
    const current = objects.get(key);
    if ((current?.version ?? 0) !== expected)
      return {kind: 'conflict', current};
    revision += 1;
    objects.set(key, {key, value, version: revision});
    return {kind: 'stored', version: revision};
  };

  const map = () => {
    const object = objects.get(rangesKey(SERVICE));
    return object ? (JSON.parse(object.value) as RangeMap) : EMPTY_MAP;
  };

  return {
    get: async key => {
      const object = objects.get(key);
      const hold = heldAnswers.find(other => other.key === key);
      heldAnswers = heldAnswers.filter(other => other !== hold);
      hold?.onMade();
      await hold?.released;
      return object;
    },
    list: async () => ({revision, objects: [...objects.values()]}),
    put: async (key, value, expected) => {
      if (refused.has(key)) throw new UnavailableError('refused');
      const hold = heldWrites.find(other => other.key === key);
      heldWrites = heldWrites.filter(other => other !== hold);
      hold?.onMade();
      await hold?.released;
      return write(key, value, expected);
    },
    delete: () => Promise.reject(new UnavailableError('not simulated')),
    watch: async function* () {},
    holdWrite: key => {
      const hold = createHold(key);
      heldWrites = [...heldWrites, hold];
      return hold;
    },
    holdAnswer: key => {
      const hold = createHold(key);
      heldAnswers = [...heldAnswers, hold];
      return hold;
    },
    refuseWrites: key => refused.add(key),
    listing: () => ({revision, objects: [...objects.values()]}),
    map,
    changeMap: change => {
      const key = rangesKey(SERVICE);
      const value = JSON.stringify(change(map()));
      write(key, value, objects.get(key)?.version ?? 0);
    },
    member: () => {
      const object = objects.get(memberKey(NODE));
      return object && (JSON.parse(object.value) as Member);
    },
    termAt: key => {
      const term = findTerm(map(), key);
      if (!term) throw new Error(`expected a term at key ${key}`);
      return term;
    },
  };
}

/** One process of the daemon under test. */
export interface DaemonProcess {
  readonly manager: InstanceManager;
  /** Brings its view up to date, as the watch does. */
  readonly observeStore: () => void;
  readonly advance: (timeMs: number) => void;
}

/**
 * Starts a process of the daemon, which has read nothing from the store yet.
 *
 * @param options Fields that replace those of its context.
 *
 * @example
 * const {manager, observeStore} = startDaemon(store);
 */
export function startDaemon(
  store: HeldStore,
  options: Partial<InstanceManagerContext> = {},
): DaemonProcess {
  let view: FleetView = EMPTY_VIEW;
  let now = 0;
  const observeChange = (change: StoredChange) => {
    ({view} = applyChange(view, change));
  };
  const manager = createInstanceManager(
    createManagerContext(
      {store, view: () => view, observeChange, clock: () => now},
      {
        ...{node: NODE, service: SERVICE, instance: INSTANCE},
        ...{leaseMs: LEASE_MS, heartbeatMs: 870},
        ...options,
      },
    ),
  );
  return {
    manager,
    observeStore: () => {
      ({view} = applyListing(view, store.listing()));
    },
    advance: timeMs => {
      now += timeMs;
    },
  };
}

/**
 * Returns a life of the instance beside the daemon.
 *
 * @example
 * lifeOf(2).id; // 'i-2'
 */
export function lifeOf(born: number): Incarnation {
  return {node: NODE, id: `i-${born}`, born};
}

/**
 * Returns a heartbeat of a life.
 *
 * @example
 * heartbeatOf(lifeOf(1), 1, {holds: [{from: 0, to: 99, fence: 1}]});
 */
export function heartbeatOf(
  {id, born}: Incarnation,
  sequence: number,
  fields: Partial<Heartbeat> = {},
): Heartbeat {
  return {
    id,
    born,
    sequence,
    service: SERVICE,
    address: parseAddress(INSTANCE),
    domain: 'north',
    slots: 4,
    state: 'ready',
    coldMs: 0,
    holds: [],
    freed: [],
    ...fields,
  };
}

/**
 * Creates a store in which a life holds all keys.
 *
 * @example
 * const store = storeHeldBy(1);
 */
export function storeHeldBy(born: number): HeldStore {
  const store = createHeldStore();
  store.changeMap(() => createMap([{...ALL_KEYS, holder: lifeOf(born)}]));
  return store;
}

/** Keys of the range map and of the registration in the store. */
export const MAP_KEY = rangesKey(SERVICE);
export const MEMBER_KEY = memberKey(NODE);
