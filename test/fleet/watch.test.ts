import test from 'ava';
import {watchPrefix} from '../../src/fleet/index.js';
import {
  UnavailableError,
  type Change,
  type Listing,
  type ObjectStore,
} from '../../src/store/index.js';

/** A store whose listings and watches fail until they have run out. */
function createFailingStore(
  listings: readonly unknown[],
  watches: readonly (readonly unknown[])[],
) {
  const watchedFrom: number[] = [];
  let lists = 0;
  const store = {
    list: async () => {
      const isFailing = lists < listings.length;
      const listing = isFailing ? listings[lists] : {revision: 7, objects: []};
      lists += 1;
      return listing as Listing;
    },
    async *watch(_: string, after: number) {
      const changes = watches[watchedFrom.length] ?? [];
      watchedFrom.push(after);
      yield* changes as readonly Change[];
      throw new UnavailableError('the watch has ended');
    },
  } as unknown as ObjectStore;
  return {store, watchedFrom, lists: () => lists};
}

/** Watches until a change with the key `last` has come. */
async function watchUntilLast({
  store,
}: Pick<ReturnType<typeof createFailingStore>, 'store'>) {
  const controller = new AbortController();
  const reasons: string[] = [];
  const seen: string[] = [];
  const listener = {
    listed: ({objects}: Listing) => void objects.length,
    changed: ({key}: Change) => {
      seen.push(key.toLowerCase());
      if (key === 'last') controller.abort();
    },
    reachabilityChanged: (isReachable: boolean, reason: string) => {
      if (!isReachable) reasons.push(reason);
    },
  };
  const timer = setTimeout(() => controller.abort(), 5000);
  await watchPrefix(store, 'fleet/', listener, controller.signal);
  clearTimeout(timer);
  return {reasons, seen};
}

const LAST = [{key: 'last', value: '1', version: 9}];

test('a watch goes on with a new listing after a change that cannot be read', async t => {
  const failing = createFailingStore([], [[null], [{}], LAST]);
  const {seen, reasons} = await watchUntilLast(failing);
  t.deepEqual(seen, ['last']);
  t.is(failing.lists(), 3);
  t.true(reasons.some(reason => reason.includes('null')));
});

test('a watch goes on after a listing that cannot be read', async t => {
  const failing = createFailingStore([null, {revision: 1}], [LAST]);
  const {seen} = await watchUntilLast(failing);
  t.deepEqual(seen, ['last']);
  t.is(failing.lists(), 3);
});

test('a watch begins anew after a change without a version', async t => {
  const unversioned = [{key: 'a', value: '1'}];
  const failing = createFailingStore([], [unversioned, LAST]);
  const {seen} = await watchUntilLast(failing);
  t.deepEqual(seen, ['last']);
  t.deepEqual(failing.watchedFrom, [7, 7]);
});

test('a watch that is only interrupted goes on from the last change', async t => {
  const change = {key: 'a', value: '1', version: 8};
  const failing = createFailingStore([], [[change], LAST]);
  const {seen} = await watchUntilLast(failing);
  t.deepEqual(seen, ['a', 'last']);
  t.deepEqual(failing.watchedFrom, [7, 8]);
  t.is(failing.lists(), 1);
});
