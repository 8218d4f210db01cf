import test from 'ava';
import {
  ALL_KEYS,
  EMPTY_MAP,
  confirmTerms,
  createMap,
  expire,
  findTerm,
  grantableTerms,
  heldBy,
  nextMap,
  parseMap,
  placeFree,
  recoverMap,
  release,
  revoke,
  settleMap,
  startMoves,
  takeOver,
  type Incarnation,
  type RangeMap,
} from '../../src/ranges/index.js';

const A: Incarnation = {node: '10.1.0.1:7620', id: 'i-a', born: 1};
const B: Incarnation = {node: '10.1.0.2:7620', id: 'i-b', born: 1};
const ROW = {...ALL_KEYS, fence: 1};

/** Returns a map that A holds, recovered in era 2. */
function recovered(): RangeMap {
  const map = {...createMap([{...ALL_KEYS, holder: A}]), era: 1};
  return recoverMap(map, map, 2);
}

test('a recovered map is a valid one of the era, with tokens above those of before', t => {
  const map = recovered();
  t.is(map.era, 2);
  t.true(map.fence > 1_000_000);
  t.deepEqual(parseMap(JSON.stringify(map)), JSON.parse(JSON.stringify(map)));
});

test('tokens rise over two returns from copies of the same map', t => {
  const map = {...createMap([{...ALL_KEYS, holder: A}]), era: 1};
  const {fence} = recoverMap(map, map, 2);
  t.true(recoverMap(map, map, 3).fence > fence + 1000);
});

// Guards against keys that go to another holder while a first may have them.
test('no key changes hands while a map recovers, unless its holder is known', t => {
  const map = revoke(recovered(), A);
  const next = {...A, id: 'i-next', born: 2};
  for (const change of [
    expire(map, A),
    release(map, A, [{...ALL_KEYS, handover: ''}]),
    takeOver(map, next, true),
    startMoves(recovered(), [{...ALL_KEYS, holder: B}]),
    placeFree(map, [{...ALL_KEYS, holder: B}]),
  ]) {
    t.is(findTerm(change, 0)?.holder.id, A.id);
  }
  t.is(findTerm(expire(settleMap(map), A), 0)?.state, 'free');
});

test('a holder with a lease keeps its token, and one without gets no keys', t => {
  const map = recovered();
  t.is(confirmTerms(map, A, [ROW]), map);
  t.is(grantableTerms(map, heldBy(map, A), [ROW]).length, 1);
  t.is(grantableTerms(map, heldBy(map, A), []).length, 0);
  t.is(confirmTerms(map, A, []), map);
});

test('a holder that the recovered map does not name claims its keys', t => {
  const map = confirmTerms(recovered(), B, [{from: 0, to: 99, fence: 2}]);
  t.is(findTerm(map, 0)?.holder.id, B.id);
  t.true((findTerm(map, 0)?.fence ?? 0) > (recovered().floor ?? 0));
  t.is(findTerm(map, 100)?.holder.id, A.id);
  t.is(confirmTerms(map, B, [{from: 0, to: 99, fence: 2}]), map);
});

test('after the recovery, keys without a lease get a token above all others', t => {
  const map = settleMap(recovered());
  t.is(confirmTerms(map, A, [ROW]), map);
  const confirmed = confirmTerms(map, A, []);
  t.true((findTerm(confirmed, 0)?.fence ?? 0) > (map.floor ?? 0));
});

test('a map that the store has undone is written before any change of it', t => {
  const map = {...createMap([{...ALL_KEYS, holder: A}]), era: 1};
  const move = (m: RangeMap) => startMoves(m, [{...ALL_KEYS, holder: B}]);
  t.is(findTerm(nextMap(map, 1, undefined, move), 0)?.state, 'moving');
  const next = nextMap(EMPTY_MAP, 2, map, move);
  t.true(next.isRecovering);
  t.is(findTerm(next, 0)?.state, 'held');
  t.is(
    nextMap(next, 2, undefined, m => m),
    next,
  );
});

test('the first map after a return from a copy recovers, as keys may have been granted', t => {
  const first = (m: RangeMap) => createMap([{...ALL_KEYS, holder: A}], m);
  t.is(nextMap(EMPTY_MAP, 1, undefined, first).isRecovering, undefined);
  t.true(nextMap(EMPTY_MAP, 2, undefined, first).isRecovering);
});
