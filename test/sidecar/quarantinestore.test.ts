import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  quarantineKey,
  type FleetView,
  type Member,
} from '../../src/fleet/index.js';
import {
  NO_SUSPECTS,
  createQuarantine,
  parseQuarantine,
  quarantinedOf,
  recordInstanceEnd,
  type InstanceEnd,
  type Suspect,
} from '../../src/quarantine/index.js';
import {
  createQuarantineStore,
  planWrite,
  storeDelayMs,
} from '../../src/sidecar/quarantinestore.js';
import {
  UnavailableError,
  revisionOf,
  versionOf,
  type ObjectStore,
  type StoredObject,
} from '../../src/store/index.js';

test('an entry is written once this daemon has to, and until the store has it', t => {
  t.is(planWrite(true, 0, 10), 'done');
  t.is(planWrite(false, undefined, 10), 'wait');
  t.is(planWrite(false, 11, 10), 'wait');
  t.is(planWrite(false, 10, 10), 'write');
});

test('the delay of a write that any daemon may make grows with the fleet', t => {
  t.is(storeDelayMs(18, 0), 3000);
  t.true(storeDelayMs(18, 0.999) < 9000);
  t.true(storeDelayMs(1200, 0.5) > 100_000);
});

const ENDS: readonly InstanceEnd[] = [1, 2, 3].map(life => ({
  id: `i-${life}`,
  born: life,
  service: 'desk',
  requests: [{fingerprint: 'f', address: 'GET a / ', isAlone: life > 1}],
}));

const [SUSPECT]: readonly Suspect[] = quarantinedOf(
  ENDS.reduce((state, end) => recordInstanceEnd(state, end, 0), NO_SUSPECTS),
);

/** Creates daemons with one store, whose changes each of them sees at once. */
function createFleet(count: number) {
  let now = 0;
  let isAway = false;
  let calls = 0;
  let view: FleetView = {
    ...EMPTY_VIEW,
    members: new Map(
      Array.from({length: count}, (_, i) => [
        `n${i}`,
        {value: {node: `n${i}`} as Member, version: 1},
      ]),
    ),
  };
  let version = 1;
  let object: StoredObject | undefined;
  const put: ObjectStore['put'] = async (key, value, expected) => {
    calls += 1;
    if (isAway) throw new UnavailableError('away');
    if ((object?.version ?? 0) !== expected) {
      return {kind: 'conflict', current: object};
    }
    version += 1;
    object = {key, value, version};
    view = applyChange(view, object).view;
    return {kind: 'stored', version};
  };
  const get: ObjectStore['get'] = async () => {
    calls += 1;
    if (isAway) throw new UnavailableError('away');
    return object;
  };
  const store = {put, get} as unknown as ObjectStore;
  const daemons = Array.from({length: count}, () =>
    createQuarantineStore({
      clock: () => now,
      store,
      view: () => view,
      observeChange: () => {},
      log: () => {},
    }),
  );
  const tick = async (forMs: number, quarantined: readonly Suspect[]) => {
    for (const until = now + forMs; now < until; now += 500) {
      for (const daemon of daemons) await daemon.tick(quarantined);
    }
  };
  return {
    daemons,
    tick,
    view: () => view,
    calls: () => calls,
    setAway: (away: boolean) => (isAway = away),
    losesAll: () => {
      object = undefined;
      view = {...view, quarantines: new Map()};
    },
    object: () => object,
    /** The store comes back from a copy, which all daemons see at once. */
    restore: (copy: StoredObject) => {
      version = versionOf(2, revisionOf(copy.version));
      object = {...copy, version};
      view = applyChange(view, object).view;
    },
    stored: () => {
      const stored = parseQuarantine(object?.value ?? '{"requests": []}');
      return 'problem' in stored ? [] : stored.requests;
    },
  };
}

test('a quarantine is stored by the daemon that decided it, with one call', async t => {
  const fleet = createFleet(50);
  fleet.daemons[7].own(['f']);
  await fleet.tick(10_000, [SUSPECT]);
  t.is(fleet.calls(), 1);
  t.is(fleet.stored()[0].fingerprint, 'f');
});

test('others store it if that daemon is lost, and again if the store comes back from an older copy', async t => {
  const fleet = createFleet(50);
  await fleet.tick(30_000, [SUSPECT]);
  t.is(fleet.stored().length, 1);
  fleet.losesAll();
  await fleet.tick(30_000, [SUSPECT]);
  t.is(fleet.stored().length, 1);
  t.true(fleet.calls() <= 4, `${fleet.calls()} calls`);
});

test('an outage of the store does not make a large fleet call it', async t => {
  const fleet = createFleet(1200);
  fleet.daemons[7].own(['f']);
  fleet.setAway(true);
  await fleet.tick(20_000, [SUSPECT]);
  t.true(fleet.calls() < 20 * 20, `${fleet.calls()} calls in 20 s`);
  fleet.setAway(false);
  await fleet.tick(20_000, [SUSPECT]);
  t.is(fleet.stored().length, 1);
});

test('a release is stored, and ends the quarantine at a daemon that reads it', async t => {
  const fleet = createFleet(3);
  fleet.daemons[0].own(['f']);
  await fleet.tick(1000, [SUSPECT]);
  const other = createQuarantine({
    clock: () => 0,
    tellOthers: () => {},
    tellOthersLater: () => {},
    onReleased: () => {},
    log: () => {},
  });
  fleet.daemons[1].applyView(fleet.view(), other);
  t.is(other.quarantined().length, 1);
  fleet.daemons[0].recordRelease(SUSPECT, true);
  await fleet.tick(1000, []);
  t.deepEqual(
    fleet.stored().map(({isReleased}) => isReleased),
    [true],
  );
  fleet.daemons[1].applyView(fleet.view(), other);
  t.deepEqual(other.quarantined(), []);
});

test('a request that was released meanwhile is not quarantined again on the same evidence', async t => {
  const [fingerprint, address, lives] = [
    SUSPECT.fingerprint,
    SUSPECT.address,
    SUSPECT.lives,
  ];
  const released = {fingerprint, address, lives, since: 1, isReleased: true};
  const key = quarantineKey('desk');
  const value = JSON.stringify({requests: [released]});
  const written: string[] = [];
  const put: ObjectStore['put'] = async (_, text, expected) => {
    if (expected !== 5)
      return {kind: 'conflict', current: {key, value, version: 5}};
    written.push(text);
    return {kind: 'stored', version: 6};
  };
  const daemon = createQuarantineStore({
    clock: () => 0,
    store: {put} as unknown as ObjectStore,
    view: () => EMPTY_VIEW,
    observeChange: () => {},
    log: () => {},
  });
  daemon.own([fingerprint]);
  await daemon.tick([SUSPECT]);
  t.deepEqual(written, []);
});

// Guards against a released request that all daemons refuse again.
for (const size of [9, 80, 1200]) {
  test(`a release that the store has undone stays in force among ${size}, and is written again`, async t => {
    const fleet = createFleet(size);
    fleet.daemons[0].own(['f']);
    await fleet.tick(1000, [SUSPECT]);
    const copy = fleet.object();
    if (!copy) throw new Error('the quarantine is not stored');
    const other = createQuarantine({
      clock: () => 0,
      tellOthers: () => {},
      tellOthersLater: () => {},
      onReleased: () => {},
      log: () => {},
    });
    fleet.daemons[1].applyView(fleet.view(), other);
    fleet.daemons[0].recordRelease(SUSPECT, true);
    await fleet.tick(1000, []);
    fleet.daemons[1].applyView(fleet.view(), other);
    t.deepEqual(other.quarantined(), []);
    const callsBefore = fleet.calls();
    fleet.restore(copy);
    t.deepEqual(
      fleet.stored().map(({isReleased}) => isReleased),
      [false],
    );
    fleet.daemons[1].applyView(fleet.view(), other);
    t.deepEqual(other.quarantined(), []);
    await fleet.tick(20_000, []);
    t.deepEqual(
      fleet.stored().map(({isReleased}) => isReleased),
      [true],
    );
    const calls = fleet.calls() - callsBefore;
    t.log(`${calls} calls`);
    t.true(calls <= 10, `${calls} calls`);
  });
}
