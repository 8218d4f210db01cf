import test from 'ava';
import {EMPTY_VIEW} from '../../src/fleet/index.js';
import {createFetchedDelivery, createKeeper} from '../../src/sidecar/index.js';
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

/** A keeper that has heard of its instance at time 0. */
async function createHeard() {
  let now = 0;
  const keeper = createKeeper({
    store: STORE,
    view: () => EMPTY_VIEW,
    learn: () => {},
    log: () => {},
    readThroughPeer: () => Promise.resolve(undefined),
    node: '10.1.0.8:7620',
    domain: 'north',
    instance: '10.1.0.8:8301',
    clock: () => now,
    isKeyed: () => false,
    heartbeatMs: HEARTBEAT_MS,
    holdMs: 5000,
    drainMs: 2000,
    began: () => {},
    deliver: createFetchedDelivery,
  });
  await keeper.hear({
    id: 'i-1',
    born: 1,
    service: 'desk',
    address: '10.1.0.8:8301',
    domain: 'north',
    slots: 4,
    coldMs: 0,
    state: 'ready',
    sequence: 1,
    holds: [],
    freed: [],
  });
  return {
    keeper,
    advance: (timeMs: number) => {
      now += timeMs;
    },
  };
}

test('an instance is not silent because its daemon stood still', async t => {
  const {keeper, advance} = await createHeard();
  advance(4 * HEARTBEAT_MS);
  await keeper.tick(3 * HEARTBEAT_MS);
  t.false(keeper.isSilent());
});

test('an instance that sends no heartbeats is silent', async t => {
  const {keeper, advance} = await createHeard();
  advance(2 * HEARTBEAT_MS);
  await keeper.tick(0);
  t.false(keeper.isSilent());
  advance(HEARTBEAT_MS);
  await keeper.tick(0);
  t.true(keeper.isSilent());
});
