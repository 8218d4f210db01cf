import {setTimeout} from 'node:timers/promises';
import test from 'ava';
import {createMetadataStore} from '../../platform/store.js';
import {createEra} from '../../platform/era.js';
import {startMetadataStore} from '../../standin/fleet/index.js';
import {
  RevisionGoneError,
  eraOf,
  revisionOf,
  versionOf,
} from '../../src/store/index.js';

const headers = (text?: string | string[]) =>
  ({'store-era': text}) as Record<string, string>;

test('a response of an earlier era, or without a readable one, does not count', t => {
  const era = createEra();
  t.is(era.observe(headers()), undefined);
  t.is(era.observe(headers('7')), undefined);
  t.is(era.current(), 7);
  for (const text of ['6', undefined, '7, 7', ['7', '8'], '-8', 'x', '8.5']) {
    t.not(era.observe(headers(text)), undefined);
    t.is(era.current(), 7);
  }
  t.is(era.observe(headers('8')), undefined);
  t.is(era.current(), 8);
});

test('versions order states of the store by era, then by revision', t => {
  t.true(versionOf(2, 10) > versionOf(1, 9_999_999));
  t.deepEqual(
    [eraOf(versionOf(3, 530)), revisionOf(versionOf(3, 530))],
    [3, 530],
  );
  t.is(versionOf(0, 12), 12);
  t.throws(() => versionOf(1e9, 1), {instanceOf: RangeError});
  t.throws(() => versionOf(1, NaN), {instanceOf: RangeError});
});

/** Starts a store that has come back from a copy since an object was written. */
async function startRestored() {
  const standin = await startMetadataStore();
  const store = createMetadataStore(standin.address);
  await store.put('fleet/a', '1', 0);
  const copy = standin.takeCopy();
  const before = await store.put(
    'fleet/a',
    '2',
    (await store.get('fleet/a'))!.version,
  );
  const expected = 'version' in before ? before.version : 0;
  standin.restore(copy);
  // Another daemon writes, so that the revision is given out again.
  standin.write('fleet', 'a', 3);
  await setTimeout(100);
  return {standin, store, expected};
}

// Guards against a write that meets a revision which was given out again, and
// overwrites the change of another daemon (OWNER).
test('a write that expects a version of an earlier era conflicts', async t => {
  const {standin, store, expected} = await startRestored();
  t.teardown(standin.close);
  const object = await store.get('fleet/a');
  t.is(revisionOf(object?.version ?? 0), revisionOf(expected));
  t.deepEqual(await store.put('fleet/a', '4', expected), {
    kind: 'conflict',
    current: object,
  });
  t.is(standin.read('fleet', 'a'), 3);
});

// Guards against a watch that goes on as if the store had lost nothing.
test('a watch ends when any response tells that the store came back from a copy', async t => {
  const {standin, store, expected} = await startRestored();
  t.teardown(standin.close);
  const changes = store.watch('fleet/', expected, new AbortController().signal);
  const next = changes[Symbol.asyncIterator]().next();
  await store.list('fleet/');
  await t.throwsAsync(next, {instanceOf: RevisionGoneError});
});
