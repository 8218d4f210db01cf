import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  EMPTY_STORE,
  applyWrite,
  changesAfter,
  listObjects,
  createMemoryPlatform,
  type Write,
} from '../../standin/platform/index.js';

const writes = fc.array(
  fc.record({
    key: fc.constantFrom('a/1', 'a/2', 'b/1'),
    value: fc.option(fc.constantFrom('1', '2'), {nil: undefined}),
    expected: fc.nat({max: 8}),
  }),
  {maxLength: 40},
);

testProp(
  'a write is applied only if its version matches, and history replays the store',
  [writes],
  (t, all) => {
    let store = EMPTY_STORE;
    for (const write of all as readonly Write[]) {
      const found = store.objects.get(write.key);
      const deletesNothing = write.value === undefined && !found;
      const matches = (found?.version ?? 0) === write.expected;
      const next = applyWrite(store, write);
      const isStored = next.result.kind === 'stored';
      t.is(isStored, matches && !deletesNothing);
      t.is(next.store.revision, store.revision + (isStored ? 1 : 0));
      store = next.store;
    }
    const replayed = new Map<string, string>();
    for (const change of changesAfter(store, 'a/', 0) ?? []) {
      if (change.value === undefined) replayed.delete(change.key);
      else replayed.set(change.key, change.value);
    }
    const listed = listObjects(store, 'a/').objects;
    const sorted = [...replayed].sort(([a], [b]) => (a < b ? -1 : 1));
    t.deepEqual(
      sorted,
      listed.map(o => [o.key, o.value]),
    );
  },
  {seed: 20261203, numRuns: 300},
);

test('an in-memory watch yields past and later changes, and ends when the platform is down', async t => {
  const platform = createMemoryPlatform();
  await platform.put('a/1', '1', 0);
  const {signal} = new AbortController();
  const changes = platform.watch('a/', 0, signal)[Symbol.asyncIterator]();
  t.like((await changes.next()).value, {version: 1});
  const next = changes.next();
  await platform.put('b/1', '1', 0);
  await platform.put('a/1', '2', 1);
  t.like((await next).value, {value: '2', version: 3});
  const ended = changes.next();
  platform.setDown(true);
  await t.throwsAsync(ended, {message: 'the watch ended'});
});
