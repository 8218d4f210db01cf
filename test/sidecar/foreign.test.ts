import test from 'ava';
import type {Member} from '../../src/fleet/index.js';
import {ALL_KEYS, createMap} from '../../src/ranges/index.js';
import type {Heartbeat} from '../../src/sidecar/index.js';
import {
  MEMBER_KEY,
  createHeldStore,
  heartbeatOf,
  lifeOf,
  startDaemon,
  type HeldStore,
} from './latechanges.js';

/** Heartbeat fields that only another writer than the local instance sends. */
const FOREIGN: readonly (readonly [string, Partial<Heartbeat>])[] = [
  ['service', {service: 'nosuch'}],
  ['address', {address: {host: '10.1.0.1', port: 8399}}],
];

/** Starts a daemon whose instance holds all keys. */
async function startHolder() {
  const store = createHeldStore();
  store.changeMap(() => createMap([{...ALL_KEYS, holder: lifeOf(1)}]));
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
