import test from 'ava';
import {EMPTY_VIEW} from '../../src/fleet/index.js';
import {
  createHeartbeatDelivery,
  createInstanceManager,
  type Heartbeat,
  type InstanceManagerContext,
} from '../../src/sidecar/index.js';
import type {ObjectStore} from '../../src/store/index.js';

const HEARTBEAT_MS = 800;

/** A store that takes every write and keeps nothing. */
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

/** A keeper that has heard of its instance at time 0. */
async function createManager(
  store = STORE,
  deliver: InstanceManagerContext['createDelivery'] = createHeartbeatDelivery,
) {
  let now = 0;
  const keeper = createInstanceManager({
    store,
    view: () => EMPTY_VIEW,
    observeChange: () => {},
    log: () => {},
    readThroughPeer: () => Promise.resolve(undefined),
    node: '10.1.0.8:7620',
    domain: 'north',
    instance: '10.1.0.8:8301',
    clock: () => now,
    isKeyed: () => false,
    heartbeatMs: HEARTBEAT_MS,
    leaseMs: 5000,
    drainMs: 2000,
    onInstanceStart: () => {},
    onStatement: () => {},
    createDelivery: deliver,
  });
  await keeper.handleHeartbeat(HEARTBEAT);
  return {
    keeper,
    advance: (timeMs: number) => {
      now += timeMs;
    },
  };
}

test('an instance is not silent because its daemon stood still', async t => {
  const {keeper, advance} = await createManager();
  advance(4 * HEARTBEAT_MS);
  await keeper.tick(3 * HEARTBEAT_MS);
  t.false(keeper.isSilent());
});

test('an instance that sends no heartbeats is silent', async t => {
  const {keeper, advance} = await createManager();
  advance(2 * HEARTBEAT_MS);
  await keeper.tick(0);
  t.false(keeper.isSilent());
  advance(HEARTBEAT_MS);
  await keeper.tick(0);
  t.true(keeper.isSilent());
});

test('what a heartbeat says of keys is taken before that of the next one', async t => {
  const heard: number[] = [];
  let isSlow = false;
  // The record of an announced end takes longer than the next heartbeat.
  const slow: ObjectStore = {
    ...STORE,
    put: (...args) => (isSlow ? new Promise(() => {}) : STORE.put(...args)),
  };
  const {keeper} = await createManager(slow, context => ({
    ...createHeartbeatDelivery(context),
    recordReport: ({sequence}) => heard.push(sequence),
  }));
  isSlow = true;
  const announced = keeper.handleHeartbeat({
    ...HEARTBEAT,
    sequence: 2,
    state: 'draining',
  });
  await keeper.handleHeartbeat({...HEARTBEAT, sequence: 3, state: 'draining'});
  await announced;
  t.deepEqual(heard, [1, 2, 3]);
});

test('an instance that has left does not come back with a late heartbeat', async t => {
  const {keeper, advance} = await createManager();
  keeper.handleLeavingStatement();
  advance(1000);
  t.true(keeper.local()?.isClosed);
  for (const [sequence, state] of [
    [10, 'ready'],
    [11, 'draining'],
  ] as const) {
    await keeper.handleHeartbeat({...HEARTBEAT, sequence, state});
    t.true(keeper.local()?.isClosed, state);
  }
  t.true(await keeper.handleDeparture(HEARTBEAT.id));
  await keeper.handleHeartbeat({...HEARTBEAT, sequence: 12, state: 'draining'});
  t.true(keeper.local()?.isClosed);
});
