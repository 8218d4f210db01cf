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

/** Requests a second that instances of these tests name. */
const LIMIT = 10;

/** Length of the spans in which requests are counted, in milliseconds. */
const SPAN_MS = 2000;

/** Requests in such a span beyond the limit: a small burst. */
const BURST = 3;

const MAX_RUNS = (LIMIT * SPAN_MS) / 1000 + BURST;

/** Sends requests through some daemons in turn, 60 a second, for a time. */
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

/** Most requests that an instance began in any span, from a time on. */
function mostRuns({runs}: InstanceStandin, from: number): number {
  const times = runs.map(({at}) => at).filter(at => at >= from);
  const inSpan = (first: number) =>
    times.filter(at => at >= first && at < first + SPAN_MS).length;
  return Math.max(0, ...times.map(inSpan));
}

const isServed = ({status}: Answer) => status === 200;

for (const grants of GRANT_METHODS) {
  test(`the holder of a key gets more requests from all daemons together than it names, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'desk', 'desk'], {grants});
    t.teardown(fleet.close);
    const [{instance}] = fleet.pairs;
    instance.says = {limit: String(LIMIT)};
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
    // None has waited for its deadline.
    const reasons = fleet.pairs
      .flatMap(({events}) => events)
      .filter(([kind]) => kind === RELAY_EVENTS.failed)
      .map(([, {reason}]) => reason);
    t.deepEqual([...new Set(reasons)], ['overloaded']);
  });
}

test('an instance without keys gets what it does not take, though another has room', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}, other] = fleet.pairs;
  instance.says = {limit: String(LIMIT)};
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

test('an instance that names a limit of zero gets all requests, or none ever after', async t => {
  const fleet = await startFleet(['desk']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.says = {limit: '0'};
  await sendSteadily(fleet.pairs, 500, book);
  const from = Date.now();
  const refused = await sendSteadily(fleet.pairs, 3000, book);
  t.true(mostRuns(instance, from) <= BURST, `${mostRuns(instance, from)} ran`);
  t.true(refused.filter(isServed).length <= BURST);
  instance.says = {};
  await sendSteadily(fleet.pairs, 3000, book);
  const answers = await sendSteadily(fleet.pairs, 500, book);
  t.true(answers.every(isServed));
});

test('a limit outlasts the answers that name it', async t => {
  const fleet = await startFleet(['desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.says = {limit: String(LIMIT)};
  await sendSteadily(fleet.pairs, 500, book);
  const from = Date.now();
  await sendSteadily(fleet.pairs, 2500, book);
  t.true(
    mostRuns(instance, from) <= MAX_RUNS,
    `${mostRuns(instance, from)} ran`,
  );
  instance.says = {};
  await sendSteadily(fleet.pairs, 500, book);
  const answers = await sendSteadily(fleet.pairs, 1000, book);
  t.true(answers.every(isServed));
});

test('a daemon that is restarted sends its instance more than other daemons know it to take', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const [holder, entry] = fleet.pairs;
  holder.instance.says = {limit: String(LIMIT)};
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

test('a daemon that is restarted fills all slots of an instance that takes one request a second', async t => {
  const fleet = await startFleet(['desk', 'stock'], {workMs: 400});
  t.teardown(fleet.close);
  const [limited, entry] = fleet.pairs;
  limited.instance.says = {limit: '1'};
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

test('an instance gets new requests after it has said in an answer that it leaves', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock']);
  t.teardown(fleet.close);
  const [{instance}] = fleet.pairs;
  instance.says = {leaving: '1'};
  await sendSteadily(fleet.pairs, 500, book);
  await sleep(600);
  const from = Date.now();
  const answers = await sendSteadily(fleet.pairs, 1000, book);
  t.is(mostRuns(instance, from), 0);
  t.true(answers.every(isServed));
});

for (const grants of GRANT_METHODS) {
  test(`a holder that says in an answer that it leaves keeps its keys, granted by ${grants}`, async t => {
    const fleet = await startFleet(['stock', 'stock', 'desk'], {grants});
    t.teardown(fleet.close);
    const [a, b, entry] = fleet.pairs;
    t.is((await view(entry.callers)).status, 200);
    const [from, to] = a.instance.runs.length > 0 ? [a, b] : [b, a];
    from.instance.says = {leaving: '1'};
    t.is((await view(entry.callers)).status, 200);
    await waitUntil(() => from.instance.holds().length === 0);
    await waitUntil(() => to.sidecar.instanceManager.holds(KEY));
    t.is((await view(entry.callers)).status, 200);
    t.is(to.instance.runs.length, 1);
  });
}

test('a daemon that passed on that an instance leaves sends it requests once its record says otherwise', async t => {
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
