import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import type {Handover, Service} from '../../src/model/index.js';
import {
  NO_LOAD,
  chooseOfTwo,
  findKey,
  findService,
  isHandedOver,
  observeLoad,
  scoreLoad,
  findSide,
} from '../../src/routing/index.js';

const SEED = {seed: 20261203, numRuns: 300};

function handover(share: number, prefixes: readonly string[] = []): Handover {
  return {oldAddress: {host: '127.0.0.1', port: 1}, share, prefixes};
}

testProp(
  'a key is found whole, whatever its characters',
  [fc.string({unit: 'binary', minLength: 1, maxLength: 100})],
  (t, key) => {
    const odd = key.includes('/') || key === '.' || key === '..';
    const path = `/rota/${encodeURIComponent(key)}/week`;
    const result = findKey({path: '/rota/{key}'}, path, []);
    if (odd) t.is(result.kind, 'bad');
    else t.deepEqual(result, {kind: 'key', key});
    const bytes = Buffer.from(key).toString('latin1');
    const headers = ['X-Key', bytes, 'x-key', bytes];
    if (odd) return;
    t.deepEqual(findKey({header: 'x-key'}, '/', headers), {kind: 'key', key});
  },
  SEED,
);

test('keys that can be read in two ways are refused', t => {
  const bad = (path: string, headers: readonly string[] = []) => {
    const source = path ? {path: '/rota/{key}/week'} : {header: 'x-key'};
    return findKey(source, path, headers).kind === 'bad';
  };
  t.true(bad('/rota//week'));
  t.true(bad('/rota/a%2fb/week'));
  t.true(bad('/rota/%c3/week'));
  t.true(bad('/rota/%u0061/week'));
  t.true(bad(`/rota/${'a'.repeat(513)}/week`));
  t.false(bad(`/rota/${'a'.repeat(512)}/week`));
  t.true(bad(`/rota/${'é'.repeat(257)}/week`));
  t.true(bad('/rota/a/weeks'));
  t.true(bad('/rota/a'));
  t.true(bad('', []));
  t.true(bad('', ['x-key', '']));
  t.true(bad('', ['x-key', 'a', 'X-Key', 'b']));
  t.true(bad('', ['x-key', '\xff']));
});

test('a path belongs to the service with the longest whole prefix', t => {
  const services = ['/', '/rota', '/rota/swaps', '/vanillaspool.'].map(
    pathPrefix => ({name: pathPrefix, pathPrefix}) as Service,
  );
  const nameOf = (path: string) => findService(services, path)?.name;
  t.is(nameOf('/rota/swaps/a'), '/rota/swaps');
  t.is(nameOf('/rota/swapsies'), '/rota');
  t.is(nameOf('/rotation'), '/');
  t.is(nameOf('/vanillaspool.Peer/Renew'), undefined);
});

testProp(
  'a larger share hands more keys over and takes none back',
  [fc.string(), fc.double({min: 0, max: 1, noNaN: true}), fc.nat(100)],
  (t, key, share, more) => {
    const larger = Math.min(1, share + more / 100);
    const before = isHandedOver(handover(share), key);
    if (before) t.true(isHandedOver(handover(larger), key));
    t.false(isHandedOver(handover(0), key));
    t.true(isHandedOver(handover(1), key));
    t.true(isHandedOver(handover(0, [key.slice(0, 2)]), key));
  },
  SEED,
);

testProp(
  'a key that changes sides is served by neither until the old one is done',
  [fc.string(), fc.double({min: 0, max: 1}), fc.double({min: 0, max: 1})],
  (t, key, a, b) => {
    const [before, now] = [handover(a || 0), handover(b || 0)];
    const moves = isHandedOver(before, key) !== isHandedOver(now, key);
    const {kind} = findSide(now, {handover: before}, key);
    const settled = isHandedOver(now, key) ? 'new' : 'old';
    t.is(kind, moves ? 'moving' : settled);
    t.is(findSide(now, undefined, key).kind, settled);
    t.is(
      findSide(undefined, {handover: before}, key).kind,
      isHandedOver(before, key) ? 'new' : 'moving',
    );
  },
  SEED,
);

test('of two instances the one that answers sooner is chosen', t => {
  const slow = observeLoad(
    observeLoad(NO_LOAD, {kind: 'sent'}, 1),
    {kind: 'answered', latencyMs: 80},
    1,
  );
  const busy = observeLoad(NO_LOAD, {kind: 'sent'}, 1);
  t.true(scoreLoad(slow, 4, 1) > scoreLoad(busy, 4, 1));
  t.true(scoreLoad(busy, 4, 1) > scoreLoad(NO_LOAD, 4, 1));
  t.true(scoreLoad(busy, 1, 1) > scoreLoad(busy, 4, 1));
  t.true(scoreLoad(slow, 4, 60_000) < scoreLoad(busy, 4, 60_000));
  const scores = [3, 1, 2];
  const chosen = chooseOfTwo(
    [0, 1, 2],
    i => scores[i],
    () => 0,
  );
  t.is(chosen, 1);
  t.is(
    chooseOfTwo(
      [],
      () => 0,
      () => 0,
    ),
    undefined,
  );
});
