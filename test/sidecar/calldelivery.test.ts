import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  rangesKey,
  type StoredChange,
} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  createMap,
  revoke,
  settleMap,
  type Incarnation,
  type RangeMap,
} from '../../src/ranges/index.js';
import {createCallDelivery} from '../../src/sidecar/index.js';
import type {
  ObjectStore,
  StoredObject,
  WriteResult,
} from '../../src/store/index.js';
import {EMPTY_STATEMENT} from '../../src/upstream/index.js';
import {LEASE_MS, createDeliveryContext} from './contexts.js';

const OWN: Incarnation = {node: '10.1.0.8:7620', id: 'i-1', born: 1};

test('a lease may be confirmed while the map is read to renew it by call', async t => {
  const now = 6000;
  const map = createMap([{...ALL_KEYS, holder: OWN}]);
  const stored = {
    key: rangesKey('desk'),
    value: JSON.stringify(map),
    version: 1,
  };
  const {view} = applyChange(EMPTY_VIEW, stored);
  let answer: (object: StoredObject) => void = () => {};
  const store: ObjectStore = {
    get: () => new Promise(resolve => (answer = resolve)),
    put: () => new Promise(() => {}),
    list: () => new Promise(() => {}),
    delete: () => new Promise(() => {}),
    watch: async function* () {},
  };
  const delivery = createCallDelivery(
    createDeliveryContext(
      {store, view: () => view, observeChange: () => {}, clock: () => now},
      OWN,
      {},
    ),
    {grant: () => new Promise(() => {}), release: () => new Promise(() => {})},
  );
  t.is(delivery.lastConfirmedAt(), -Infinity);
  delivery.reconcile();
  t.is(delivery.lastConfirmedAt(), now);
  answer({...stored, value: 'not a map'});
  await new Promise(resolve => setImmediate(resolve));
  t.is(delivery.lastConfirmedAt(), -Infinity);
});

/** Attempts to release after which a delivery is stopped. */
const MAX_ATTEMPTS = 50;

for (const isAnswered of [true, false]) {
  const how = isAnswered ? 'that was confirmed' : 'whose lease has expired';
  test(`a release ${how} waits for the end of the recovery of the map`, async t => {
    const now = isAnswered ? 1000 : 20_000;
    const revoked = revoke(createMap([{...ALL_KEYS, holder: OWN}]), OWN);
    let stored: StoredObject = {
      key: rangesKey('desk'),
      value: JSON.stringify({...revoked, isRecovering: true}),
      version: 1,
    };
    let {view} = applyChange(EMPTY_VIEW, stored);
    const observeChange = (object: StoredChange) => {
      ({view} = applyChange(view, object));
    };
    const store: ObjectStore = {
      get: async () => stored,
      put: async (key, value): Promise<WriteResult> => {
        stored = {key, value, version: stored.version + 1};
        return {kind: 'stored', version: stored.version};
      },
      list: () => new Promise(() => {}),
      delete: () => new Promise(() => {}),
      watch: async function* () {},
    };
    let clock = 0;
    let releases = 0;
    let attempts = 0;
    let wake = () => {};
    const delivery = createCallDelivery(
      createDeliveryContext(
        {store, view: () => view, observeChange, clock: () => clock},
        OWN,
        {
          recipient: () =>
            attempts < MAX_ATTEMPTS
              ? {
                  incarnation: OWN,
                  service: 'desk',
                  address: {host: '10.1.0.8', port: 8301},
                  state: 'left',
                  isSilent: false,
                }
              : undefined,
          sleep: () => new Promise<void>(resolve => (wake = resolve)),
          onChange: () => {
            attempts += 1;
          },
        },
      ),
      {
        grant: () => new Promise(() => {}),
        release: async () => {
          releases += 1;
          const statement = EMPTY_STATEMENT;
          return {kind: 'released', handover: 'token', statement};
        },
      },
    );
    const turn = () => new Promise(resolve => setImmediate(resolve));
    clock = now;
    delivery.reconcile();
    await turn();
    t.is(attempts, 1);
    t.is(releases, isAnswered ? 1 : 0);
    const settled = settleMap(JSON.parse(stored.value) as RangeMap);
    stored = {...stored, value: JSON.stringify(settled), version: 2};
    observeChange(stored);
    wake();
    await turn();
    const [term] = view.maps.get('desk')?.value.terms ?? [];
    t.is(term.state, 'free');
    t.is(term.handover, isAnswered ? 'token' : '');
    t.is(releases, isAnswered ? 1 : 0);
  });
}

test('a map that was read before the machine was suspended grants no keys', async t => {
  const map = createMap([{...ALL_KEYS, holder: OWN}]);
  const stored = {
    key: rangesKey('desk'),
    value: JSON.stringify(map),
    version: 1,
  };
  const {view} = applyChange(EMPTY_VIEW, stored);
  let wallClock = 1_800_000_000_000;
  let answer: (object: StoredObject) => void = () => {};
  const store: ObjectStore = {
    get: () => new Promise(resolve => (answer = resolve)),
    put: () => new Promise(() => {}),
    list: () => new Promise(() => {}),
    delete: () => new Promise(() => {}),
    watch: async function* () {},
  };
  const leases: number[] = [];
  const delivery = createCallDelivery(
    createDeliveryContext(
      {store, view: () => view, observeChange: () => {}, clock: () => 1000},
      OWN,
      {wallClock: () => wallClock},
    ),
    {
      grant: async (_to, _range, _handover, holdMs) => {
        leases.push(holdMs);
        return {kind: 'granted', message: '', statement: EMPTY_STATEMENT};
      },
      release: () => new Promise(() => {}),
    },
  );
  const turn = () => new Promise(resolve => setImmediate(resolve));
  delivery.reconcile();
  wallClock += 10_000;
  answer(stored);
  await turn();
  t.deepEqual(leases, []);
  delivery.reconcile();
  wallClock += 200;
  answer(stored);
  await turn();
  t.is(leases.length, 1);
  t.true(leases[0] <= LEASE_MS - 200);
});

// Guards against keys that are refused though their holder runs, after its daemon
// was restarted while the store came back from a copy.
test('a restarted daemon that may grant nothing does not take its instance for one without keys', async t => {
  const held = createMap([{...ALL_KEYS, holder: OWN}]);
  const floor = held.fence + 1;
  const map: RangeMap = {...held, fence: floor, floor, isRecovering: true};
  const stored = {
    key: rangesKey('desk'),
    value: JSON.stringify(map),
    version: 1,
  };
  const {view} = applyChange(EMPTY_VIEW, stored);
  let reads = 0;
  const store: ObjectStore = {
    get: async () => {
      reads += 1;
      return stored;
    },
    put: () => new Promise(() => {}),
    list: () => new Promise(() => {}),
    delete: () => new Promise(() => {}),
    watch: async function* () {},
  };
  const delivery = createCallDelivery(
    createDeliveryContext(
      {store, view: () => view, observeChange: () => {}, clock: () => 0},
      OWN,
      {},
    ),
    {grant: () => new Promise(() => {}), release: () => new Promise(() => {})},
  );
  delivery.resume();
  await new Promise(resolve => setImmediate(resolve));
  t.is(reads, 1);
  t.is(delivery.holds(10), undefined);
});
