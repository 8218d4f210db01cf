import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  memberKey,
  rangesKey,
  type FleetView,
  type Member,
  type StoredChange,
} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  createMap,
  revoke,
  startMoves,
  type Incarnation,
  type RangeMap,
  type RangeTerm,
} from '../../src/ranges/index.js';
import {
  createHeartbeatDelivery,
  createInstanceManager,
  type Heartbeat,
  type InstanceManagerContext,
} from '../../src/sidecar/index.js';
import type {ObjectStore} from '../../src/store/index.js';
import {LEASE_MS, createManagerContext} from './contexts.js';

const HEARTBEAT_MS = 800;
const NODE = '10.1.0.8:7620';
const OWN: Incarnation = {node: NODE, id: 'i-1', born: 1};
const LATER: Incarnation = {node: NODE, id: 'i-2', born: 2};
const OTHER: Incarnation = {node: '10.1.0.9:7620', id: 'i-9', born: 1};

/** A store that accepts every write and stores nothing. */
const STORE: ObjectStore = {
  get: () => Promise.resolve(undefined),
  list: () => Promise.resolve({objects: [], revision: 1}),
  put: () => Promise.resolve({kind: 'stored', version: 1}),
  delete: () => Promise.resolve({kind: 'stored', version: 1}),
  watch: async function* () {},
};

const HEARTBEAT: Heartbeat = {
  id: 'i-1',
  born: 1,
  service: 'desk',
  address: {host: '10.1.0.8', port: 8301},
  domain: 'north',
  slots: 4,
  coldMs: 0,
  state: 'ready',
  sequence: 1,
  holds: [],
  freed: [],
};

/** Creates a view of stored objects. */
function viewOf(changes: readonly StoredChange[]): FleetView {
  return changes.reduce(
    (view, change) => applyChange(view, change).view,
    EMPTY_VIEW,
  );
}

/** Creates an instance manager that received a first heartbeat at time 0. */
async function createManager(
  store = STORE,
  deliver: InstanceManagerContext['createDelivery'] = createHeartbeatDelivery,
  changes: readonly StoredChange[] = [],
) {
  let now = 0;
  let view = viewOf(changes);
  const observeChange = (change: StoredChange) => {
    view = applyChange(view, change).view;
  };
  const manager = createInstanceManager(
    createManagerContext(
      {store, view: () => view, observeChange, clock: () => now},
      {
        node: NODE,
        heartbeatMs: HEARTBEAT_MS,
        isKeyed: () => false,
        createDelivery: deliver,
      },
    ),
  );
  await manager.handleHeartbeat(HEARTBEAT);
  return {
    manager,
    view: () => view,
    setView: (next: FleetView) => {
      view = next;
    },
    observeChange,
    advance: (timeMs: number) => {
      now += timeMs;
    },
  };
}

test('an instance is not silent because the event loop of its daemon was blocked', async t => {
  const {manager, advance} = await createManager();
  advance(4 * HEARTBEAT_MS);
  await manager.tick(3 * HEARTBEAT_MS);
  t.false(manager.isSilent());
});

test('an instance that misses its heartbeats is silent', async t => {
  const {manager, advance} = await createManager();
  advance(2 * HEARTBEAT_MS);
  await manager.tick(0);
  t.false(manager.isSilent());
  advance(HEARTBEAT_MS);
  await manager.tick(0);
  t.true(manager.isSilent());
});

test('key reports of heartbeats are recorded in the order of heartbeats', async t => {
  const recorded: number[] = [];
  let isSlow = false;
  // Writing the announced shutdown takes longer than the next heartbeat.
  const slow: ObjectStore = {
    ...STORE,
    put: (...args) => (isSlow ? new Promise(() => {}) : STORE.put(...args)),
  };
  const {manager} = await createManager(slow, context => ({
    ...createHeartbeatDelivery(context),
    recordReport: ({sequence}) => recorded.push(sequence),
  }));
  isSlow = true;
  const announced = manager.handleHeartbeat({
    ...HEARTBEAT,
    sequence: 2,
    state: 'draining',
  });
  await manager.handleHeartbeat({...HEARTBEAT, sequence: 3, state: 'draining'});
  await announced;
  t.deepEqual(recorded, [1, 2, 3]);
});

test('a late heartbeat does not reopen an instance that has left', async t => {
  const {manager, advance} = await createManager();
  manager.handleLeavingStatement();
  advance(1000);
  t.true(manager.local()?.isClosed);
  for (const [sequence, state] of [
    [10, 'ready'],
    [11, 'draining'],
  ] as const) {
    await manager.handleHeartbeat({...HEARTBEAT, sequence, state});
    t.true(manager.local()?.isClosed, state);
  }
  t.true(await manager.handleDeparture(HEARTBEAT.id));
  await manager.handleHeartbeat({
    ...HEARTBEAT,
    sequence: 12,
    state: 'draining',
  });
  t.true(manager.local()?.isClosed);
});

test('a late departure of an earlier life does not close the next one under its id', async t => {
  const {manager} = await createManager();
  const next = {...HEARTBEAT, born: HEARTBEAT.born + 1};
  await manager.handleHeartbeat(next);
  t.false(await manager.handleDeparture(HEARTBEAT.id, HEARTBEAT.born));
  t.false(manager.local()?.isClosed);
  t.true(manager.isLeavingRecorded());
  t.true(await manager.handleDeparture(next.id, next.born));
  t.false(manager.isLeavingRecorded());
});

test('a departure on a connection that is older than those of the current life does not close it', async t => {
  const {manager} = await createManager();
  const {id, born} = HEARTBEAT;
  const next = {...HEARTBEAT, born: born + 1};
  await manager.handleHeartbeat({...next, connection: 8});
  await manager.handleHeartbeat({...next, sequence: 2, connection: 9});
  t.false(await manager.handleDeparture(id, undefined, 7));
  t.true(manager.isLeavingRecorded());
  t.true(await manager.handleDeparture(id, undefined, 8));
  t.false(manager.isLeavingRecorded());
});

for (const {connection, sequence, id} of [
  {connection: 9, sequence: 1, id: HEARTBEAT.id},
  {connection: 7, sequence: 3, id: HEARTBEAT.id},
  {connection: 7, sequence: 1, id: 'i-2'},
]) {
  test(`a departure of ${id} on connection ${connection} is acknowledged if its heartbeat ${sequence} came on connection 8`, async t => {
    const {manager} = await createManager();
    const born = HEARTBEAT.born + 1;
    const next = {...HEARTBEAT, id, born, sequence};
    await manager.handleHeartbeat({...next, connection: 8});
    t.true(await manager.handleDeparture(id, undefined, connection));
    t.false(manager.isLeavingRecorded());
  });
}

const MAP_KEY = rangesKey(HEARTBEAT.service);
const HELD = createMap([{...ALL_KEYS, holder: OWN}]);

function storedMap(map: RangeMap, version: number) {
  return {key: MAP_KEY, value: JSON.stringify(map), version};
}

/** Creates a store whose maps have changed meanwhile, once. */
function conflictingStore(current: RangeMap, onConflict: () => void) {
  const written: RangeMap[] = [];
  let hasConflicted = false;
  const store: ObjectStore = {
    ...STORE,
    put: (key, value) => {
      if (key !== MAP_KEY) return STORE.put(key, value, 0);
      if (hasConflicted) {
        written.push(JSON.parse(value) as RangeMap);
        return Promise.resolve({kind: 'stored', version: 9});
      }
      hasConflicted = true;
      onConflict();
      return Promise.resolve({
        kind: 'conflict',
        current: storedMap(current, 8),
      });
    },
  };
  return {store, written};
}

test('a lease that was confirmed meanwhile is not ended', async t => {
  let confirmedAt = -Infinity;
  let now = 0;
  const {store, written} = conflictingStore(revoke(HELD, OWN), () => {
    confirmedAt = now;
  });
  const {manager, advance} = await createManager(
    store,
    context => ({
      ...createHeartbeatDelivery(context),
      lastConfirmedAt: () => confirmedAt,
    }),
    [storedMap(revoke(HELD, OWN), 7)],
  );
  now = 10_000;
  advance(now);
  await manager.tick(0);
  t.true(manager.isSilent());
  t.deepEqual(written, []);
});

test('a delayed heartbeat of an earlier incarnation takes no keys from the one that runs', async t => {
  const written: RangeMap[] = [];
  const store: ObjectStore = {
    ...STORE,
    put: (key, value) => {
      if (key === MAP_KEY) written.push(JSON.parse(value) as RangeMap);
      return Promise.resolve({kind: 'stored', version: 9});
    },
  };
  const held = createMap([{...ALL_KEYS, holder: LATER}]);
  const moving = startMoves(held, [{...ALL_KEYS, holder: OTHER}]);
  const {manager} = await createManager(store, undefined, [
    storedMap(moving, 7),
  ]);
  await manager.tick(0);
  t.deepEqual(written, []);
});

test('a delayed heartbeat of an earlier incarnation does not replace the registration of the one that runs', async t => {
  const later: Member = {
    ...{node: NODE, domain: 'north', service: 'desk', id: 'i-2', born: 2},
    ...{slots: 4, state: 'ready', stopping: false},
  };
  const key = memberKey(NODE);
  const current = {key, value: JSON.stringify(later), version: 5};
  const written: string[] = [];
  const store: ObjectStore = {
    ...STORE,
    put: (_, value, expected) => {
      if (expected !== current.version)
        return Promise.resolve({kind: 'conflict', current});
      written.push(value);
      return Promise.resolve({kind: 'stored', version: 6});
    },
  };
  const {view} = await createManager(store);
  t.deepEqual(written, []);
  t.is(view().members.get(NODE)?.value.id, 'i-2');
});

test('a departure is acknowledged once it is stored, also while the registration is written', async t => {
  const stored: Member[] = [];
  let isHeld = false;
  let answer = () => {};
  const store: ObjectStore = {
    ...STORE,
    put: async (key, value) => {
      if (isHeld) await new Promise<void>(resolve => (answer = resolve));
      if (key === memberKey(NODE)) stored.push(JSON.parse(value) as Member);
      return {kind: 'stored', version: stored.length};
    },
  };
  const {manager} = await createManager(store);
  isHeld = true;
  manager.handleLeavingStatement();
  const departed = manager.handleDeparture(OWN.id);
  isHeld = false;
  answer();
  t.true(await departed);
  t.is(stored.at(-1)?.state, 'left');
});

// Guards against the last write of an earlier process, which takes effect after this
// one has restored the instance as ready (DRAIN).
test('a departure that is recorded late is in force, and is not written over', async t => {
  const member = {
    ...OWN,
    domain: 'north',
    service: 'desk',
    slots: 4,
    stopping: false,
  };
  const change = (state: string, version: number) => ({
    key: memberKey(NODE),
    value: JSON.stringify({...member, state}),
    version,
  });
  const written: string[] = [];
  const store: ObjectStore = {
    ...STORE,
    put: async (_, value) => {
      written.push(value);
      return {kind: 'stored', version: 9};
    },
  };
  const {manager, observeChange} = await createManager(store, undefined, [
    change('ready', 1),
  ]);
  t.false(manager.local()?.isClosed);
  observeChange(change('left', 2));
  await manager.tick(0);
  t.true(manager.local()?.isClosed);
  t.deepEqual(written, []);
});

// Guards against keys that are not served though their holder runs, after its daemon
// was restarted while the store came back from a copy.
test('reported keys of an instance are served by a restarted daemon while their map recovers', async t => {
  const recovering: RangeMap = {...HELD, era: 2, isRecovering: true};
  const [KEPT, GONE] = [10, 60_000];
  for (const map of [recovering, HELD]) {
    const {manager, advance} = await createManager(STORE, undefined, [
      storedMap(map, 7),
    ]);
    advance(3 * HEARTBEAT_MS);
    const [{fence}] = map.terms;
    const holds = [{from: 0, to: 999, fence}];
    await manager.handleHeartbeat({...HEARTBEAT, sequence: 2, holds});
    t.is(manager.holds(KEPT), map === recovering);
    t.false(manager.holds(GONE));
    advance(LEASE_MS);
    t.false(manager.holds(KEPT));
  }
});

test('heartbeats do not search the terms of a map that has not changed', async t => {
  let reads = 0;
  const terms: RangeTerm[] = [
    {...ALL_KEYS, fence: 1, holder: OTHER, state: 'held', handover: ''},
  ];
  const map = {
    fence: 1,
    get terms() {
      reads += 1;
      return terms;
    },
  };
  const {manager, view, setView} = await createManager();
  const maps = new Map([['stock', {value: map, version: 9}]]);
  setView({...view(), maps});
  const sequences = [2, 3, 4, 5, 6, 7, 8, 9];
  for (const sequence of sequences) {
    await manager.handleHeartbeat({...HEARTBEAT, sequence});
    await manager.tick(0);
  }
  t.true(reads <= 1, `searched ${reads} times`);
});
