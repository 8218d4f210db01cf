import test from 'ava';
import type {Member} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  expire,
  findTerm,
  startMoves,
  type RangeMap,
} from '../../src/ranges/index.js';
import type {Heartbeat} from '../../src/sidecar/index.js';
import {
  MEMBER_KEY,
  OTHER_LIFE,
  createHeldStore,
  heartbeatOf,
  lifeOf,
  startDaemon,
  storeHeldBy,
  type HeldStore,
} from './latechanges.js';

/** Heartbeat fields that only another writer than the local instance sends. */
const FOREIGN: readonly (readonly [string, Partial<Heartbeat>])[] = [
  ['service', {service: 'nosuch'}],
  ['address', {address: {host: '10.1.0.1', port: 8399}}],
];

/** Starts a daemon whose instance holds all keys. */
async function startHolder() {
  const store = storeHeldBy(1);
  const daemon = startDaemon(store);
  daemon.observeStore();
  await daemon.manager.handleHeartbeat(heartbeatOf(lifeOf(1), 1));
  daemon.observeStore();
  daemon.advance(870);
  return {...daemon, store};
}

for (const [name, fields] of FOREIGN) {
  for (const [sender, life] of [
    ['another id', lifeOf(2)],
    ['the id of the instance', lifeOf(1)],
  ] as const) {
    // Guards against a report of another writer that ends the hold of the real
    // instance, whose keys then have two holders (OWNER).
    test(`a heartbeat with an unknown ${name} under ${sender} changes nothing`, async t => {
      const {manager, observeStore, advance, store} = await startHolder();
      const before = [store.map(), store.member()];
      const foreign = heartbeatOf(life, 2, fields);
      t.is(await manager.handleHeartbeat(foreign), undefined);
      await manager.tick(0);
      t.deepEqual([store.map(), store.member()], before);
      t.is(manager.incarnation()?.id, lifeOf(1).id);
      observeStore();
      advance(870);
      const holds = [{...ALL_KEYS, fence: 1}];
      const next = heartbeatOf(lifeOf(1), 2, {holds});
      t.truthy(await manager.handleHeartbeat(next));
    });
  }
}

/** Stores the registration of an instance of another service. */
function registerOther(store: HeldStore): Promise<unknown> {
  const {node, id, born} = lifeOf(5);
  const member: Member = {
    ...{node, id, born, domain: 'north', service: 'nosuch', slots: 4},
    ...{state: 'ready', stopping: false},
  };
  return store.put(MEMBER_KEY, JSON.stringify(member), 0);
}

// Guards against a registration of another writer, or from before the machine
// was given to another service, whose instance is sent requests.
test('a restarted daemon does not restore an instance of another service', async t => {
  const store = createHeldStore();
  await registerOther(store);
  const {manager, observeStore} = startDaemon(store);
  observeStore();
  manager.resume();
  t.is(manager.local(), undefined);
});

// Guards against a machine that is given to another service, whose first
// heartbeat ends the hold of an instance that may still be up (OWNER).
for (const [name, change] of [
  ['held', (map: RangeMap) => map],
  [
    'on the move',
    (map: RangeMap) => startMoves(map, [{...ALL_KEYS, holder: OTHER_LIFE}]),
  ],
] as const) {
  test(`keys ${name} wait for the end of their lease when another service has the machine`, async t => {
    const store = storeHeldBy(1);
    store.changeMap(change);
    const {manager, observeStore} = startDaemon(store, {service: 'desk'});
    observeStore();
    const beat = heartbeatOf(lifeOf(2), 1, {service: 'desk'});
    t.truthy(await manager.handleHeartbeat(beat));
    await manager.tick(0);
    const {state, holder, revocation} = store.termAt(0);
    t.is(state, 'revoked');
    t.is(holder.id, lifeOf(1).id);
    const expired = expire(store.map(), lifeOf(1), revocation);
    const next = findTerm(expired, 0);
    t.is(next?.state, name === 'held' ? 'free' : 'held');
  });
}

// Guards against a departure that another writer records under the id of an instance
// that runs, which is then sent no requests.
test('a departure that another writer records does not close the instance', async t => {
  const {manager, observeStore, advance, store} = await startHolder();
  const member = store.member();
  const left = JSON.stringify({...member, state: 'left'});
  const [object] = store.listing().objects.filter(o => o.key === MEMBER_KEY);
  t.is((await store.put(MEMBER_KEY, left, object.version)).kind, 'stored');
  observeStore();
  await manager.tick(0);
  advance(870);
  observeStore();
  t.false(manager.local()?.isClosed);
  t.is(store.member()?.state, 'ready');
});
