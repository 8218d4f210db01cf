import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {RELAY_EVENTS} from '../../src/relay/index.js';
import {GRANT_METHODS} from '../../src/sidecar/index.js';
import type {InstanceStandin} from '../../standin/fleet/index.js';
import {
  sendRequest,
  startFleet,
  waitUntil,
  type Answer,
  type Pair,
} from './fixture.js';
import {startPeer} from './peer.js';

const KEY = 10;

/**
 * Rate limit that instances of these tests announce, in requests per second.
 */
const LIMIT = 10;

/** Length of the time windows in which requests are counted. */
const SPAN_MS = 2000;

/** Requests in such a window beyond the limit, for a small burst. */
const BURST = 3;

const MAX_RUNS = (LIMIT * SPAN_MS) / 1000 + BURST;

/** Sends 60 requests per second through some daemons in turn, for a time. */
async function sendSteadily(
  pairs: readonly Pair[],
  forMs: number,
  send: (callers: string) => Promise<Answer>,
): Promise<readonly Answer[]> {
  const sent: Promise<Answer>[] = [];
  const end = Date.now() + forMs;
  while (Date.now() < end) {
    const {callers} = pairs[sent.length % pairs.length];
    sent.push(send(callers));
    await sleep(1000 / 60);
  }
  return Promise.all(sent);
}

const view = (callers: string) => sendRequest(callers, 'GET', '/view/x', KEY);
const book = (callers: string) => sendRequest(callers, 'POST', '/book/x');

/**
 * Returns the most requests that an instance began in any window, from a time
 * on.
 */
function mostRuns({runs}: InstanceStandin, from: number): number {
  const times = runs.map(({at}) => at).filter(at => at >= from);
  const inSpan = (first: number) =>
    times.filter(at => at >= first && at < first + SPAN_MS).length;
  return Math.max(0, ...times.map(inSpan));
}

const isServed = ({status}: Answer) => status === 200;

for (const grants of GRANT_METHODS) {
  test(`all daemons together send the holder of a key no more requests than its rate limit, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'desk', 'desk'], {grants});
    t.teardown(fleet.close);
    const [{instance}] = fleet.pairs;
    instance.statedHeaders = {limit: String(LIMIT)};
    await sendSteadily(fleet.pairs, 500, view);
    const from = Date.now();
    const answers = await sendSteadily(fleet.pairs, 4000, view);
    t.true(
      mostRuns(instance, from) <= MAX_RUNS,
      `${mostRuns(instance, from)} ran`,
    );
    t.true(answers.filter(isServed).length >= LIMIT * 4 * 0.8);
    for (const {status, retryAfter} of answers) {
      if (status === 200) continue;
      t.deepEqual([status, Number(retryAfter) > 0], [503, true]);
    }
    // No request has waited until its deadline.
    const reasons = fleet.pairs
      .flatMap(({events}) => events)
      .filter(([kind]) => kind === RELAY_EVENTS.failed)
      .map(([, {reason}]) => reason);
    t.deepEqual([...new Set(reasons)], ['overloaded']);
  });
}

test('requests beyond the rate limit of an instance go to another with free capacity', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}, other] = fleet.pairs;
  instance.statedHeaders = {limit: String(LIMIT)};
  await sendSteadily(fleet.pairs, 500, book);
  const from = Date.now();
  const answers = await sendSteadily(fleet.pairs, 4000, book);
  t.true(
    mostRuns(instance, from) <= MAX_RUNS,
    `${mostRuns(instance, from)} ran`,
  );
  t.true(mostRuns(other.instance, from) > MAX_RUNS);
  t.true(answers.every(isServed));
});

test('an instance with a rate limit of zero gets at most a burst until it lifts the limit', async t => {
  const fleet = await startFleet(['desk']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.statedHeaders = {limit: '0'};
  await sendSteadily(fleet.pairs, 500, book);
  const from = Date.now();
  const refused = await sendSteadily(fleet.pairs, 3000, book);
  t.true(mostRuns(instance, from) <= BURST, `${mostRuns(instance, from)} ran`);
  t.true(refused.filter(isServed).length <= BURST);
  instance.statedHeaders = {};
  await sendSteadily(fleet.pairs, 3000, book);
  const answers = await sendSteadily(fleet.pairs, 500, book);
  t.true(answers.every(isServed));
});

test('a rate limit ends when responses no longer announce it', async t => {
  const fleet = await startFleet(['desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.statedHeaders = {limit: String(LIMIT)};
  await sendSteadily(fleet.pairs, 500, book);
  const from = Date.now();
  await sendSteadily(fleet.pairs, 2500, book);
  t.true(
    mostRuns(instance, from) <= MAX_RUNS,
    `${mostRuns(instance, from)} ran`,
  );
  instance.statedHeaders = {};
  await sendSteadily(fleet.pairs, 500, book);
  const answers = await sendSteadily(fleet.pairs, 1000, book);
  t.true(answers.every(isServed));
});

test('a restarted daemon keeps to the rate limit that other daemons know', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [holder, entry] = fleet.pairs;
  holder.instance.statedHeaders = {limit: String(LIMIT)};
  await sendSteadily([entry], 500, view);
  await holder.restart();
  await waitUntil(() => holder.instance.holds().length > 0);
  const from = Date.now();
  await sendSteadily([entry], 2500, view);
  const {instance} = holder;
  t.true(mostRuns(instance, from) > 0);
  t.true(
    mostRuns(instance, from) <= MAX_RUNS,
    `${mostRuns(instance, from)} ran`,
  );
});

test('a restarted daemon does not fill all slots of an instance limited to one request per second', async t => {
  const fleet = await startFleet(['desk', 'stock'], {workMs: 400});
  t.teardown(fleet.close);
  const [limited, entry] = fleet.pairs;
  limited.instance.statedHeaders = {limit: '1'};
  t.is((await book(entry.callers)).status, 200);
  await limited.restart();
  await sleep(1000);
  const from = Date.now();
  await Promise.all(Array.from({length: 8}, () => book(entry.callers)));
  const ran = limited.instance.runs.filter(({at}) => at >= from).length;
  t.true(ran <= 2, `${ran} ran`);
  await sleep(1200);
  t.is((await book(entry.callers)).status, 200);
});

test('an instance gets no new requests after it announced its shutdown in a response', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.statedHeaders = {leaving: '1'};
  await sendSteadily(fleet.pairs, 500, book);
  await sleep(600);
  const from = Date.now();
  const answers = await sendSteadily(fleet.pairs, 1000, book);
  t.is(mostRuns(instance, from), 0);
  t.true(answers.every(isServed));
});

for (const grants of GRANT_METHODS) {
  test(`a holder that announces its shutdown in a response gives up its keys, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const [a, b, entry] = fleet.pairs;
    t.is((await view(entry.callers)).status, 200);
    const [from, to] = a.instance.runs.length > 0 ? [a, b] : [b, a];
    from.instance.statedHeaders = {leaving: '1'};
    t.is((await view(entry.callers)).status, 200);
    await waitUntil(() => from.instance.holds().length === 0);
    await waitUntil(() => to.sidecar.instanceManager.holds(KEY));
    t.is((await view(entry.callers)).status, 200);
    t.is(to.instance.runs.length, 1);
  });
}

test('an instance that announced its shutdown gets requests again only as a new incarnation', async t => {
  const fleet = await startFleet(['stock']);
  t.teardown(fleet.close);
  const [entry] = fleet.pairs;
  const headers = {'Server-Leaving': '1'};
  const peer = await startPeer(fleet.store, 'desk', {headers});
  t.teardown(peer.close);
  await waitUntil(() => entry.sidecar.isReady());
  t.is((await book(entry.callers)).status, 200);
  await sleep(1000);
  const member = `member.${peer.node}`;
  const record = fleet.store.read('fleet', member) as object;
  fleet.store.write('fleet', member, {...record, state: 'draining'});
  fleet.store.write('fleet', member, record);
  const answers = await sendSteadily([entry], 500, book);
  t.true(answers.every(({status}) => status === 503));
  fleet.store.write('fleet', member, {...record, born: 8});
  await sleep(200);
  t.is((await book(entry.callers)).status, 200);
});
