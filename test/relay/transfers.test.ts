import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {createTransfers, type Transfers} from '../../src/relay/index.js';
import {createVirtualTime, type VirtualTime} from './virtual.js';

/** Bytes that a 7 Mbit/s link transfers in a millisecond. */
const LINK_BYTES_PER_MS = 875;

const MS_PER_SECOND = 1000;

/** Length of a simulation in virtual time, in milliseconds. */
const LENGTH_MS = 30_000;

/** Latency objective of an upload, in milliseconds, which includes its work. */
const OBJECTIVE_MS = 900;

/** Mean length of an upload, in bytes. */
const UPLOAD_BYTES = 50_000;

/** Rates of uploads and look-ups at an instance. */
interface Load {
  readonly uploadsPerSecond: number;
  readonly lookUpsPerSecond: number;
}

/** Results of a simulation; times in milliseconds. */
interface Outcome {
  readonly uploads: readonly number[];
  readonly refused: number;
  readonly lookUps: readonly number[];
}

/** Transfers without a limit: every body is sent immediately. */
const UNLIMITED: Transfers = {
  acquire: () => Promise.resolve(undefined),
  start: () => {},
  finish: () => {},
  state: () => {
    throw new Error('unlimited transfers have no state');
  },
};

/**
 * Simulates a load on one link that delivers messages in the order in which
 * they are sent.
 */
async function simulate(
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

const limited = ({now, after}: VirtualTime) =>
  createTransfers({clock: now, schedule: after});

/** Returns the value below which a share of the values lies. */
function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
}

/** Deadline of a look-up, in milliseconds. */
const LOOK_UP_MS = 500;

test('uploads beyond the bandwidth of a link delay no look-ups', async t => {
  // 22 uploads a second of 50 kB need a quarter more than the bandwidth of the
  // link.
  const load = {uploadsPerSecond: 22, lookUpsPerSecond: 50};
  const after = await simulate(load, limited);
  t.true(quantile(after.lookUps, 0.99) < LOOK_UP_MS);
  t.true(after.uploads.length / LENGTH_MS > 0.9 * (LINK_BYTES_PER_MS / 53_000));
  t.true(quantile(after.uploads, 0.9) < OBJECTIVE_MS);
  const before = await simulate(load, () => UNLIMITED);
  t.true(quantile(before.lookUps, 0.5) > LOOK_UP_MS);
  t.true(quantile(before.uploads, 0.5) > OBJECTIVE_MS);
});

test('uploads within the bandwidth of a link are not refused', async t => {
  const load = {uploadsPerSecond: 12, lookUpsPerSecond: 50};
  const {uploads, refused, lookUps} = await simulate(load, limited);
  t.true(refused <= 0.01 * uploads.length);
  t.true(quantile(uploads, 0.9) < OBJECTIVE_MS);
  t.true(quantile(lookUps, 0.99) < LOOK_UP_MS / 2);
});

/**
 * Acquires transfer slots in the order of names and records which are granted
 * or denied.
 */
function createAcquirer() {
  const {now, after, advance} = createVirtualTime();
  const transfers = limited({now, after, advance});
  const granted: string[] = [];
  const denied: string[] = [];
  const take = async (name: string) => {
    const times = {objectiveAt: now() + 5000, deadlineAt: now() + 5000};
    const claim = {name, kind: 'upload', priority: 1, ...times};
    const {signal} = new AbortController();
    const refusal = await transfers.acquire(claim, () => signal);
    (refusal ? denied : granted).push(name);
  };
  const pass = async (timeMs: number) => {
    for (let turn = 0; turn < timeMs; turn++) await advance(1);
  };
  return {transfers, granted, denied, take, pass};
}

test('a body that never arrives loses its slot', async t => {
  const {transfers, granted, take, pass} = createAcquirer();
  for (const name of ['a', 'b', 'c']) void take(name);
  await pass(1);
  t.deepEqual(granted, ['a', 'b']);
  transfers.finish('a', true);
  await pass(1);
  t.deepEqual(granted, ['a', 'b', 'c']);
  void take('d');
  await pass(600);
  t.deepEqual(granted, ['a', 'b', 'c', 'd']);
});

test('a body that arrives slowly keeps its slot', async t => {
  const {transfers, granted, denied, take, pass} = createAcquirer();
  for (const name of ['a', 'b']) void take(name);
  await pass(1);
  for (const name of ['a', 'b']) transfers.start(name);
  void take('c');
  await pass(800);
  t.deepEqual(granted, ['a', 'b']);
  await pass(200);
  t.deepEqual([granted, denied], [['a', 'b'], ['c']]);
});
