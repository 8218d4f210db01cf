import test from 'ava';
import {
  ALL_KEYS,
  cancelMoves,
  createMap,
  release,
  revoke,
  startMoves,
} from '../../src/ranges/index.js';
import type {Heartbeat} from '../../src/sidecar/index.js';
import {
  LEASE_MS,
  MAP_KEY,
  MEMBER_KEY,
  OTHER_LIFE,
  createHeldStore,
  heartbeatOf,
  lifeOf,
  storeHeldBy,
  startDaemon,
  type HeldStore,
} from './latechanges.js';

/** The keys that these tests move. */
const MOVED = {from: 0, to: 99};
const REST = {from: 100, to: ALL_KEYS.to};

/** Time after which no answer of an earlier process of the daemon is read. */
const AFTER_START_MS = 5000;

const move = (store: HeldStore) =>
  store.changeMap(map => startMoves(map, [{...MOVED, holder: OTHER_LIFE}]));

test('a release that is stored late does not end keys that were granted again', async t => {
  const store = storeHeldBy(1);
  const life = lifeOf(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  advance(AFTER_START_MS);
  await manager.handleHeartbeat(heartbeatOf(life, 1));
  move(store);
  observeStore();
  advance(870);
  const held = {holds: [{...ALL_KEYS, fence: 1}], readSequence: 1};
  await manager.handleHeartbeat(heartbeatOf(life, 2, held));
  advance(100);
  const released = {
    holds: [{...REST, fence: 1}],
    freed: [{...MOVED, handover: 'h'}],
    readSequence: 2,
  };
  const write = store.holdWrite(MAP_KEY);
  const late = manager.handleHeartbeat(heartbeatOf(life, 3, released));
  await write.made;
  store.changeMap(map => cancelMoves(map, () => true));
  observeStore();
  advance(1000);
  // The instance has given up the third heartbeat, and takes what it is granted.
  const answer = await manager.handleHeartbeat(heartbeatOf(life, 4, released));
  t.is(answer?.grants?.[0].from, MOVED.from);
  move(store);
  write.release();
  await late;
  t.is(store.termAt(MOVED.from).holder.id, life.id);
});

test('a takeover that is stored late does not end keys of a later life', async t => {
  const store = storeHeldBy(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  const write = store.holdWrite(MAP_KEY);
  const late = manager.handleHeartbeat(heartbeatOf(lifeOf(2), 1));
  await write.made;
  advance(2000);
  const answer = await manager.handleHeartbeat(heartbeatOf(lifeOf(3), 1));
  t.is(answer?.grants?.[0].from, MOVED.from);
  move(store);
  write.release();
  await late;
  await manager.tick(0);
  t.is(store.termAt(MOVED.from).holder.id, lifeOf(3).id);
});

test('an expiry that is stored late does not end a lease that was renewed', async t => {
  const store = storeHeldBy(1);
  const life = lifeOf(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(life, 1));
  advance(3000);
  await manager.tick(0);
  t.is(store.termAt(0).state, 'revoked');
  advance(2500);
  const write = store.holdWrite(MAP_KEY);
  const late = manager.tick(0);
  await write.made;
  const answer = await manager.handleHeartbeat(heartbeatOf(life, 2));
  t.is(answer?.grants?.length, 1);
  store.changeMap(map => revoke(map, life));
  write.release();
  await late;
  t.is(store.termAt(0).state, 'revoked');
});

test('the answer to an earlier heartbeat does not shorten the known lease', async t => {
  const store = storeHeldBy(1);
  const life = lifeOf(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(life, 1));
  advance(2000);
  const read = store.holdAnswer(MAP_KEY);
  const holds = [{...ALL_KEYS, fence: 1}];
  const late = manager.handleHeartbeat(heartbeatOf(life, 2, {holds}));
  await read.made;
  advance(1000);
  await manager.handleHeartbeat(heartbeatOf(life, 3, {holds}));
  t.is(manager.leaseLeftMs(), LEASE_MS);
  read.release();
  await late;
  t.is(manager.leaseLeftMs(), LEASE_MS);
});

test('the answer to an earlier heartbeat does not let a lease expire early', async t => {
  const store = storeHeldBy(1);
  const life = lifeOf(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(life, 1));
  advance(2000);
  const read = store.holdAnswer(MAP_KEY);
  const holds = [{...ALL_KEYS, fence: 1}];
  const late = manager.handleHeartbeat(heartbeatOf(life, 2, {holds}));
  await read.made;
  advance(2500);
  await manager.handleHeartbeat(heartbeatOf(life, 3, {holds}));
  read.release();
  await late;
  advance(2400);
  await manager.tick(0);
  t.is(store.termAt(0).state, 'revoked');
  // The lease that the third heartbeat began lasts 2.2 s longer.
  advance(500);
  await manager.tick(0);
  t.is(store.termAt(0).state, 'revoked');
});

test('the answer to an earlier life is not taken for a grant to a later one', async t => {
  const store = storeHeldBy(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(lifeOf(1), 1));
  advance(3000);
  await manager.tick(0);
  const write = store.holdWrite(MAP_KEY);
  const late = manager.handleHeartbeat(heartbeatOf(lifeOf(1), 2));
  await write.made;
  advance(1000);
  const answer = await manager.handleHeartbeat(heartbeatOf(lifeOf(2), 1));
  t.is(answer?.grants?.length, 1);
  advance(100);
  t.true(manager.holds(0));
  write.release();
  await late;
  advance(100);
  t.true(manager.holds(0));
});

test('a daemon that starts again keeps the keys of the life that its registration lacks', async t => {
  const store = storeHeldBy(1);
  const first = startDaemon(store);
  first.observeStore();
  await first.manager.handleHeartbeat(heartbeatOf(lifeOf(1), 1));
  store.refuseWrites(MEMBER_KEY);
  const answer = await first.manager.handleHeartbeat(heartbeatOf(lifeOf(2), 1));
  t.is(answer?.grants?.[0].from, MOVED.from);
  move(store);
  const second = startDaemon(store);
  second.observeStore();
  second.manager.resume();
  await second.manager.tick(0);
  t.is(store.termAt(MOVED.from).holder.id, lifeOf(2).id);
});

test('a late heartbeat of an earlier life does not replace the registration of a later one', async t => {
  const store = storeHeldBy(2);
  const first = startDaemon(store);
  first.observeStore();
  await first.manager.handleHeartbeat(heartbeatOf(lifeOf(2), 1));
  move(store);
  const second = startDaemon(store);
  await second.manager.handleHeartbeat(heartbeatOf(lifeOf(1), 9));
  second.observeStore();
  await second.manager.tick(0);
  t.is(store.member()?.id, lifeOf(2).id);
  t.is(store.termAt(MOVED.from).holder.id, lifeOf(2).id);
});

test('a revocation that is stored late does not take keys from an instance that sends heartbeats again', async t => {
  const store = storeHeldBy(1);
  const life = lifeOf(1);
  const {manager, observeStore, advance} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(life, 1));
  advance(3000);
  const write = store.holdWrite(MAP_KEY);
  const late = manager.tick(0);
  await write.made;
  t.true(manager.isSilent());
  const answer = await manager.handleHeartbeat(heartbeatOf(life, 2));
  t.is(answer?.grants?.length, 1);
  move(store);
  write.release();
  await late;
  t.deepEqual(
    store.map().terms.map(({state}) => state),
    ['moving', 'held'],
  );
});

test('a revocation that is stored late does not take keys after a departure from the next life', async t => {
  const store = storeHeldBy(1);
  const {manager, observeStore} = startDaemon(store);
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(lifeOf(1), 1));
  const write = store.holdWrite(MAP_KEY);
  const departed = manager.handleDeparture(lifeOf(1).id);
  await write.made;
  const takeover = store.holdWrite(MAP_KEY);
  const next = manager.handleHeartbeat(heartbeatOf(lifeOf(2), 1));
  await takeover.made;
  move(store);
  const {version} =
    store.listing().objects.find(({key}) => key === MAP_KEY) ?? {};
  write.release();
  await departed;
  t.is(
    store.listing().objects.find(({key}) => key === MAP_KEY)?.version,
    version,
  );
  takeover.release();
  await next;
  t.is(store.termAt(REST.from).holder.id, lifeOf(2).id);
  t.is(store.termAt(REST.from).state, 'held');
});

test('a late first heartbeat of an ended life gives no keys on the move to their next holder', async t => {
  const store = createHeldStore();
  const running = lifeOf(4000);
  store.changeMap(() => createMap([{...ALL_KEYS, holder: running}]));
  const {manager, observeStore, advance} = startDaemon(store);
  const holds = [{...ALL_KEYS, fence: 1}];
  for (let sequence = 1; sequence < 5; sequence++) {
    observeStore();
    t.truthy(
      await manager.handleHeartbeat(heartbeatOf(running, sequence, {holds})),
    );
    advance(870);
  }
  const move = {from: 0, to: 99, holder: OTHER_LIFE};
  store.changeMap(map => startMoves(map, [move]));
  observeStore();
  await manager.handleHeartbeat(heartbeatOf(lifeOf(9000), 1));
  t.not(store.termAt(0).holder.id, OTHER_LIFE.id);
  t.is(store.termAt(0).next?.id, OTHER_LIFE.id);
});

/**
 * Starts a daemon whose instance is granted the rest of the keys, and then given
 * the moved ones, which are revoked with the others before it can take them.
 */
async function revokeUntaken(state: Heartbeat['state'] = 'ready') {
  const store = createHeldStore();
  const life = lifeOf(1);
  store.changeMap(() =>
    createMap([
      {...MOVED, holder: OTHER_LIFE},
      {...REST, holder: life},
    ]),
  );
  const daemon = startDaemon(store);
  const {manager, observeStore, advance} = daemon;
  observeStore();
  advance(AFTER_START_MS);
  await manager.handleHeartbeat(heartbeatOf(life, 1, {state}));
  store.changeMap(map =>
    release(startMoves(map, [{...MOVED, holder: life}]), OTHER_LIFE, [
      {...MOVED, handover: ''},
    ]),
  );
  observeStore();
  advance(3000);
  await manager.tick(0);
  observeStore();
  const holds = [{...REST, fence: 1}];
  const returning = heartbeatOf(life, 2, {state, holds, readSequence: 1});
  return {...daemon, store, life, returning};
}

test('an instance that sends heartbeats again is granted keys that were revoked before it took them', async t => {
  const {manager, store, life, returning} = await revokeUntaken();
  t.is(store.termAt(MOVED.from).state, 'revoked');
  const {fence} = store.termAt(MOVED.from);
  const answer = await manager.handleHeartbeat(returning);
  t.deepEqual(
    answer?.grants?.map(row => row.from),
    [MOVED.from, REST.from],
  );
  t.is(store.termAt(MOVED.from).holder.id, life.id);
  t.is(store.termAt(MOVED.from).fence, fence);
});

test('a draining instance that sends heartbeats again releases keys that were revoked before it took them', async t => {
  const {manager, store, returning} = await revokeUntaken('draining');
  t.is(store.termAt(MOVED.from).state, 'revoked');
  await manager.handleHeartbeat(returning);
  t.is(store.termAt(MOVED.from).state, 'free');
});
