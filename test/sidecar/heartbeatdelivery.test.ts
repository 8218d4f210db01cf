import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  rangesKey,
  type FleetView,
  type StoredChange,
} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  createMap,
  startMoves,
  type HoldReport,
  type Incarnation,
  type RangeMap,
  type ReadAnswer,
} from '../../src/ranges/index.js';
import {
  SIDECAR_EVENTS,
  createHeartbeatDelivery,
  type DeliveryContext,
  type Heartbeat,
} from '../../src/sidecar/index.js';
import type {
  ObjectStore,
  StoredObject,
  WriteResult,
} from '../../src/store/index.js';
import {createDeliveryContext} from './contexts.js';

const SERVICE = 'desk';
const KEY = rangesKey(SERVICE);
const OWN: Incarnation = {node: '10.1.0.8:7620', id: 'i-1', born: 1};
const OTHER: Incarnation = {node: '10.1.0.9:7620', id: 'i-2', born: 1};
const ADDRESS = {host: '10.1.0.8', port: 8301};

const HELD = createMap([{...ALL_KEYS, holder: OWN}]);
const MOVING = startMoves(HELD, [{...ALL_KEYS, holder: OTHER}]);

/** A call of the store that the test answers. */
interface PendingCall {
  readonly kind: 'get' | 'put';
  readonly value?: string;
  readonly answer: (result: unknown) => void;
}

function stored(map: RangeMap, version: number): StoredObject {
  return {key: KEY, value: JSON.stringify(map), version};
}

/** Creates a delivery in virtual time whose store is answered by the test. */
function createFixture(map = HELD, log: DeliveryContext['log'] = () => {}) {
  let now = 0;
  let wall = 0;
  let view: FleetView = EMPTY_VIEW;
  const calls: PendingCall[] = [];
  const answers: ReadAnswer[] = [];
  const call = <T>(kind: PendingCall['kind'], value?: string) =>
    new Promise<T>(resolve => {
      calls.push({kind, value, answer: resolve as (result: unknown) => void});
    });
  const store: ObjectStore = {
    get: () => call<StoredObject>('get'),
    put: (_, value) => call<WriteResult>('put', value),
    list: () => Promise.resolve({objects: [], revision: 1}),
    delete: () => Promise.resolve({kind: 'stored', version: 1}),
    watch: async function* () {},
  };
  const observeChange = (change: StoredChange) => {
    view = applyChange(view, change).view;
  };
  observeChange(stored(map, 1));
  const delivery = createHeartbeatDelivery(
    createDeliveryContext(
      {store, view: () => view, observeChange, clock: () => now},
      OWN,
      {
        log,
        wallClock: () => wall,
        readThroughPeer: () => new Promise(() => {}),
      },
    ),
  );
  return {
    delivery,
    observeChange,
    advance: (timeMs: number, suspendedMs = 0) => {
      now += timeMs;
      wall += timeMs + suspendedMs;
    },
    /** Receives a heartbeat; the result is the response. */
    receive: (
      sequence: number,
      {
        holds = [],
        freed = [],
        readSequence,
      }: Partial<Pick<Heartbeat, 'holds' | 'freed' | 'readSequence'>>,
    ) => {
      const report: HoldReport = {
        ...{incarnation: OWN, sequence, holds, freed, arrivedAt: now},
        read: answers.find(answer => answer.sequence === readSequence),
      };
      const {id, born} = OWN;
      const heartbeat: Heartbeat = {
        ...{id, born, sequence, holds, freed, service: SERVICE},
        ...{address: ADDRESS, domain: 'north', slots: 4, coldMs: 0},
        state: 'ready',
      };
      delivery.recordReport(report);
      return delivery.answerHeartbeat(heartbeat, report).then(answer => {
        answers.push({sequence, sentAfter: now});
        return answer;
      });
    },
    /** Waits for the next call of the store. */
    nextCall: async (kind: PendingCall['kind']): Promise<PendingCall> => {
      for (let turn = 0; turn < 50; turn++) {
        const found = calls.findIndex(pending => pending.kind === kind);
        if (found >= 0) return calls.splice(found, 1)[0];
        await new Promise(resolve => setImmediate(resolve));
      }
      throw new Error(`the store got no ${kind}`);
    },
  };
}

const HELD_ROW = {...ALL_KEYS, fence: 1};

/** Time after which no answer of an earlier process of the daemon is read. */
const AFTER_START_MS = 5000;

/**
 * Grants all keys in the answer to heartbeat 7, and leaves them out of that to
 * heartbeat 8, which is sent 870 ms later.
 */
async function grantAndWithdraw(
  {advance, receive, nextCall, observeChange}: ReturnType<typeof createFixture>,
  readSequence?: number,
) {
  advance(AFTER_START_MS);
  const seventh = receive(7, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  await seventh;
  observeChange(stored(MOVING, 2));
  advance(870);
  const eighth = receive(8, {readSequence});
  (await nextCall('get')).answer(stored(MOVING, 2));
  await eighth;
  advance(110);
}

// An answer that is held up may be read after later ones.
for (const [report, fields] of [
  ['no longer reported', {}],
  ['reported as freed', {freed: [{...ALL_KEYS, handover: 'token'}]}],
] as const) {
  test(`keys are not released while an answer that grants them may still be read: ${report}`, async t => {
    const fixture = createFixture();
    const {advance, receive, nextCall} = fixture;
    await grantAndWithdraw(fixture);
    void receive(9, fields);
    await t.throwsAsync(nextCall('put'));
    advance(2000);
    void receive(10, {});
    await t.throwsAsync(nextCall('put'));
    advance(2500);
    void receive(11, {});
    await t.notThrowsAsync(nextCall('put'));
  });
}

// A heartbeat that was sent before the answer was read may arrive at any time:
// it was held up, or the daemon stood still while it waited at its socket.
test('a heartbeat that arrives late does not show that an answer has been read', async t => {
  const fixture = createFixture();
  await grantAndWithdraw(fixture);
  fixture.advance(1500);
  void fixture.receive(9, {});
  await t.throwsAsync(fixture.nextCall('put'));
});

// An answer to a later heartbeat shows nothing of one on another connection.
test('an answer stays open when another one has been read', async t => {
  const fixture = createFixture();
  await grantAndWithdraw(fixture);
  void fixture.receive(9, {readSequence: 8});
  await t.throwsAsync(fixture.nextCall('put'));
});

test('a release of a part keeps its token when another part is held again', async t => {
  const low = {from: 0, to: 99};
  const high = {from: 100, to: 199};
  const fixture = createFixture();
  const {advance, receive, nextCall} = fixture;
  await grantAndWithdraw(fixture);
  void receive(9, {freed: [{...low, to: 199, handover: 'token'}]});
  advance(100);
  void receive(10, {holds: [{...high, fence: 1}]});
  advance(5000);
  void receive(11, {});
  const {terms} = JSON.parse((await nextCall('put')).value ?? '') as RangeMap;
  t.is(terms[0].handover, 'token');
});

test('keys are released at once if the instance has read the answer that granted them', async t => {
  const fixture = createFixture();
  await grantAndWithdraw(fixture, 7);
  void fixture.receive(9, {});
  await t.notThrowsAsync(fixture.nextCall('put'));
});

test('keys are not released while answers of an earlier process of the daemon may still be read', async t => {
  const {receive, nextCall, observeChange, advance} = createFixture();
  observeChange(stored(MOVING, 2));
  const first = receive(8, {});
  (await nextCall('get')).answer(stored(MOVING, 2));
  await first;
  advance(870);
  await receive(9, {readSequence: 8});
  advance(870);
  const third = receive(10, {readSequence: 9});
  await t.throwsAsync(nextCall('put'));
  (await nextCall('get')).answer(stored(MOVING, 2));
  await third;
  advance(870);
  void receive(11, {readSequence: 10});
  await t.notThrowsAsync(nextCall('put'));
});

test('a release that the instance reported counts no more once it reports the keys as held', async t => {
  const fixture = createFixture();
  const {advance, receive, nextCall} = fixture;
  await grantAndWithdraw(fixture);
  void receive(9, {freed: [{...ALL_KEYS, handover: 'early'}]});
  advance(100);
  void receive(10, {holds: [HELD_ROW]});
  advance(5000);
  void receive(11, {});
  const {terms} = JSON.parse((await nextCall('put')).value ?? '') as RangeMap;
  t.is(terms[0].handover, '');
});

test('a heartbeat that is answered after a later one does not shorten the known lease', async t => {
  const {delivery, advance, receive, nextCall} = createFixture();
  const first = receive(1, {});
  const slowRead = await nextCall('get');
  advance(900);
  const second = receive(2, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  t.truthy((await second).grants);
  slowRead.answer(stored(HELD, 1));
  t.is((await first).grants, undefined);
  t.is(delivery.lastConfirmedAt(), 900);
});

test('a response that the instance no longer waits for grants nothing', async t => {
  const {delivery, advance, receive, nextCall} = createFixture();
  const answer = receive(1, {});
  const read = await nextCall('get');
  advance(1100);
  read.answer(stored(HELD, 1));
  t.is((await answer).grants, undefined);
  t.is(delivery.lastConfirmedAt(), -Infinity);
});

test('a read of the map from before a suspension of the machine grants nothing', async t => {
  const {advance, receive, nextCall} = createFixture();
  const answer = receive(1, {});
  const read = await nextCall('get');
  advance(10, 8000);
  read.answer(stored(HELD, 1));
  t.is((await answer).grants, undefined);
});

test('a lease may be confirmed while a heartbeat is answered', async t => {
  const {delivery, advance, receive, nextCall} = createFixture();
  advance(6000);
  const answer = receive(1, {});
  t.is(delivery.lastConfirmedAt(), 6000);
  (await nextCall('get')).answer(stored(MOVING, 2));
  await answer;
  t.is(delivery.lastConfirmedAt(), 6000);
});

test('keys released in an earlier heartbeat are not given away after they were granted again', async t => {
  const {advance, receive, nextCall, observeChange} = createFixture();
  advance(AFTER_START_MS);
  const first = receive(1, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  await first;
  observeChange(stored(MOVING, 2));
  const second = receive(2, {holds: [HELD_ROW], readSequence: 1});
  (await nextCall('get')).answer(stored(MOVING, 2));
  t.deepEqual((await second).grants, []);
  advance(100);
  const freed = [{...ALL_KEYS, handover: 'token'}];
  void receive(3, {freed, readSequence: 2});
  const releaseOf3 = await nextCall('put');
  // The move is cancelled meanwhile, and the next heartbeat is granted the keys.
  observeChange(stored(HELD, 3));
  advance(900);
  const fourth = receive(4, {freed});
  (await nextCall('get')).answer(stored(HELD, 3));
  t.is((await fourth).grants?.length, 1);
  // Then the keys move again; the write of the release is computed once more.
  observeChange(stored(MOVING, 4));
  releaseOf3.answer({kind: 'conflict', current: stored(MOVING, 4)});
  await t.throwsAsync(nextCall('put'));
});

test('a heartbeat that reports none of the keys just granted is granted them again', async t => {
  const {advance, receive, nextCall} = createFixture();
  const first = receive(1, {});
  const read = await nextCall('get');
  advance(990);
  read.answer(stored(HELD, 1));
  t.truthy((await first).grants);
  // The instance stopped waiting before the response arrived.
  advance(20);
  const second = receive(2, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  t.is((await second).grants?.length, 1);
});

test('keys that stay are renewed while the release of others waits for the store', async t => {
  const half = Math.floor(ALL_KEYS.to / 2);
  const moved = {from: half + 1, to: ALL_KEYS.to};
  const moving = startMoves(HELD, [{...moved, holder: OTHER}]);
  const {advance, receive, nextCall, observeChange} = createFixture();
  advance(AFTER_START_MS);
  const first = receive(1, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  await first;
  observeChange(stored(moving, 2));
  advance(800);
  const second = receive(2, {holds: [HELD_ROW], readSequence: 1});
  (await nextCall('get')).answer(stored(moving, 2));
  t.is((await second).grants?.length, 1);
  advance(1600);
  const holds = [{from: 0, to: half, fence: 1}];
  const freed = [{...moved, handover: 'token'}];
  const third = receive(3, {holds, freed, readSequence: 2});
  // The store answers reads, or another daemon does, but no writes.
  await nextCall('put');
  advance(300);
  (await nextCall('get')).answer(stored(moving, 2));
  t.is((await third).grants?.length, 1);
});

test('a release that is reported while another is written does not wait for the next heartbeat', async t => {
  const half = Math.floor(ALL_KEYS.to / 2);
  const low = {from: 0, to: half};
  const high = {from: half + 1, to: ALL_KEYS.to};
  const moving = startMoves(HELD, [
    {...low, holder: OTHER},
    {...high, holder: {...OTHER, id: 'i-3'}},
  ]);
  const {advance, receive, nextCall, observeChange} = createFixture();
  advance(AFTER_START_MS);
  const first = receive(1, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  await first;
  observeChange(stored(moving, 2));
  const second = receive(2, {holds: [HELD_ROW], readSequence: 1});
  (await nextCall('get')).answer(stored(moving, 2));
  await second;
  const freedLow = {...low, handover: 'low'};
  const holds = [{...high, fence: 1}];
  await receive(3, {holds, freed: [freedLow]});
  const write = await nextCall('put');
  const freed = [freedLow, {...high, handover: 'high'}];
  await receive(4, {freed});
  write.answer({kind: 'stored', version: 3});
  const next = JSON.parse((await nextCall('put')).value ?? '') as RangeMap;
  t.deepEqual(
    next.terms.map(term => term.holder.id),
    [OTHER.id, 'i-3'],
  );
});

test('a report of keys that the map has given to another instance is logged', async t => {
  const logged: unknown[] = [];
  const {receive} = createFixture(
    createMap([{...ALL_KEYS, holder: OTHER}], {...HELD, fence: 1}),
    ({number}, fields) => {
      if (number === SIDECAR_EVENTS.keysHeldPastTerm.number)
        logged.push(fields);
    },
  );
  void receive(4, {holds: [HELD_ROW]});
  t.deepEqual(logged, [
    {service: SERVICE, upstream: 'i-1', sequence: 4, holds: '0-65535:1'},
  ]);
});

// The instance gives up only what an answer with keys leaves out.
test('an instance that reports keys of another is answered at once without them', async t => {
  const given = createMap([{...ALL_KEYS, holder: OTHER}], {...HELD, fence: 1});
  const {advance, receive, nextCall, observeChange} = createFixture();
  const first = receive(1, {});
  (await nextCall('get')).answer(stored(HELD, 1));
  await first;
  observeChange(stored(MOVING, 2));
  const second = receive(2, {});
  (await nextCall('get')).answer(stored(MOVING, 2));
  await second;
  observeChange(stored(given, 3));
  advance(100);
  const third = receive(3, {holds: [HELD_ROW]});
  (await nextCall('get')).answer(stored(given, 3));
  t.deepEqual((await third).grants, []);
});
