import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {createTransfers, type Transfers} from '../../src/relay/index.js';
import {createVirtualTime, type VirtualTime} from './virtual.js';

/** Bytes that a link of 7 Mbit/s carries in a millisecond. */
const LINK_BYTES_PER_MS = 875;

const MS_PER_SECOND = 1000;

/** Length of a play in virtual time, in milliseconds. */
const LENGTH_MS = 30_000;

/** Objective of an upload, of which a part is left for its work. */
const OBJECTIVE_MS = 900;

/** Mean length of an upload, in bytes. */
const UPLOAD_BYTES = 50_000;

/** Uploads and look-ups that an instance is asked for. */
interface Load {
  readonly uploadsPerSecond: number;
  readonly lookUpsPerSecond: number;
}

/** What became of them; times in milliseconds. */
interface Outcome {
  readonly uploads: readonly number[];
  readonly refused: number;
  readonly lookUps: readonly number[];
}

/** Every body is sent at once. */
const UNPACED: Transfers = {
  acquire: () => Promise.resolve(undefined),
  start: () => {},
  finish: () => {},
  state: () => {
    throw new Error('it has no state');
  },
};

/** Plays a load over one link, on which what is sent first arrives first. */
async function play(
  load: Load,
  create: (time: VirtualTime) => Transfers,
): Promise<Outcome> {
  const random = createRandom(11);
  const time = createVirtualTime();
  const {now, after, advance} = time;
  const transfers = create(time);
  const uploads: number[] = [];
  const lookUps: number[] = [];
  let refused = 0;
  let linkFreeAt = 0;
  const send = (bytes: number, arrived: () => void) => {
    linkFreeAt = Math.max(now(), linkFreeAt) + bytes / LINK_BYTES_PER_MS;
    after(linkFreeAt - now(), arrived);
  };
  const upload = async (name: string) => {
    const startedAt = now();
    const denied = await transfers.acquire(
      {
        name,
        kind: 'upload',
        priority: 1,
        objectiveAt: startedAt + OBJECTIVE_MS,
        deadlineAt: startedAt + 3 * OBJECTIVE_MS,
      },
      () => new AbortController().signal,
    );
    if (denied) {
      refused += 1;
      return;
    }
    send(UPLOAD_BYTES * (0.4 + 0.6 * (random() + random())), () => {
      uploads.push(now() - startedAt);
      transfers.finish(name, true);
    });
  };
  for (let turn = 0; now() < LENGTH_MS; turn++) {
    await advance(1);
    if (random() < load.uploadsPerSecond / MS_PER_SECOND) {
      void upload(`upload-${turn}`);
    }
    if (random() < load.lookUpsPerSecond / MS_PER_SECOND) {
      const startedAt = now();
      send(1000, () => lookUps.push(now() - startedAt));
    }
  }
  return {uploads, refused, lookUps};
}

const paced = ({now, after}: VirtualTime) =>
  createTransfers({clock: now, schedule: after});

/** Returns the value below which a share of some values lies. */
function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** Deadline of a look-up, in milliseconds. */
const LOOK_UP_MS = 500;

test('uploads that ask for more than a link carries delay no look-ups', async t => {
  // 22 uploads a second of 50 kB ask for a quarter more than the link carries.
  const load = {uploadsPerSecond: 22, lookUpsPerSecond: 50};
  const after = await play(load, paced);
  t.true(quantile(after.lookUps, 0.99) < LOOK_UP_MS);
  t.true(after.uploads.length / LENGTH_MS > 0.9 * (LINK_BYTES_PER_MS / 53_000));
  t.true(quantile(after.uploads, 0.9) < OBJECTIVE_MS);
  const before = await play(load, () => UNPACED);
  t.true(quantile(before.lookUps, 0.5) > LOOK_UP_MS);
  t.true(quantile(before.uploads, 0.5) > OBJECTIVE_MS);
});

test('uploads for which a link has room are not refused', async t => {
  const load = {uploadsPerSecond: 12, lookUpsPerSecond: 50};
  const {uploads, refused, lookUps} = await play(load, paced);
  t.true(refused <= 0.01 * uploads.length);
  t.true(quantile(uploads, 0.9) < OBJECTIVE_MS);
  t.true(quantile(lookUps, 0.99) < LOOK_UP_MS / 2);
});

/** Takes turns in the order of names and notes who has got one, or not. */
function createTurns() {
  const {now, after, advance} = createVirtualTime();
  const transfers = paced({now, after, advance});
  const taken: string[] = [];
  const denied: string[] = [];
  const take = async (name: string) => {
    const times = {objectiveAt: now() + 5000, deadlineAt: now() + 5000};
    const claim = {name, kind: 'upload', priority: 1, ...times};
    const {signal} = new AbortController();
    const refusal = await transfers.acquire(claim, () => signal);
    (refusal ? denied : taken).push(name);
  };
  const pass = async (timeMs: number) => {
    for (let turn = 0; turn < timeMs; turn++) await advance(1);
  };
  return {transfers, taken, denied, take, pass};
}

test('a body that never comes gives its place up', async t => {
  const {transfers, taken, take, pass} = createTurns();
  for (const name of ['a', 'b', 'c']) void take(name);
  await pass(1);
  t.deepEqual(taken, ['a', 'b']);
  transfers.finish('a', true);
  await pass(1);
  t.deepEqual(taken, ['a', 'b', 'c']);
  void take('d');
  await pass(600);
  t.deepEqual(taken, ['a', 'b', 'c', 'd']);
});

test('a body that arrives slowly keeps its place', async t => {
  const {transfers, taken, denied, take, pass} = createTurns();
  for (const name of ['a', 'b']) void take(name);
  await pass(1);
  for (const name of ['a', 'b']) transfers.start(name);
  void take('c');
  await pass(800);
  t.deepEqual(taken, ['a', 'b']);
  await pass(200);
  t.deepEqual([taken, denied], [['a', 'b'], ['c']]);
});
