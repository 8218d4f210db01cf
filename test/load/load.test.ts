import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  bodyOf,
  callWithRetries,
  createOwnerHints,
  createRandom,
  createTally,
  createZipf,
  verdictOf,
  parseKind,
  planRequests,
  readLoadOptions,
  runLoad,
  type Attempt,
  type Method,
  type PlannedRequest,
  type Sender,
  type Verdict,
  type Workload,
} from '../../src/load/index.js';
import {readOptions, startUpstream} from '../../standin/upstream/index.js';

const WORKLOAD: Workload = {
  run: 'r',
  kinds: [parseKind('GET /rota/{key} 9'), parseKind('POST /swaps 1 300')],
  requestsPerSecond: 500,
  seconds: 4,
  keys: 50,
  skew: 1,
  seed: 7,
};

const HOSTS = [1, 2, 3].map(port => ({host: '127.0.0.1', port}));

function requestOf(method: Method): PlannedRequest {
  const request = [...planRequests(WORKLOAD)][0];
  return {...request, method, key: 'a', path: '/rota/a?request=r-0'};
}

function echoOf(request: PlannedRequest, change: object = {}) {
  const body = bodyOf(request).toString();
  const bodyHash =
    'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855';
  const {method, path} = request;
  return JSON.stringify({
    method,
    path,
    bodyBytes: body.length,
    bodyHash,
    ...change,
  });
}

test('a load is drawn from its seed alone', t => {
  const first = [...planRequests(WORKLOAD)];
  t.deepEqual(first, [...planRequests(WORKLOAD)]);
  t.notDeepEqual(first, [...planRequests({...WORKLOAD, seed: 8})]);
  t.true(Math.abs(first.length - 2000) < 4 * Math.sqrt(2000));
  const keyed = first.filter(request => request.key !== undefined);
  t.true(Math.abs(keyed.length / first.length - 0.9) < 0.04);
  t.is(new Set(first.map(request => request.path)).size, first.length);
});

test('lower ranks are drawn as often as the distribution says', t => {
  const draw = createZipf(3, 1);
  const random = createRandom(1);
  const counts = [0, 0, 0];
  for (let count = 0; count < 11_000; count++) counts[draw(random)] += 1;
  [6000, 3000, 2000].forEach((expected, rank) => {
    t.true(Math.abs(counts[rank] - expected) < 4 * Math.sqrt(expected));
  });
});

test('an answer is of its request or wrong', t => {
  const request = requestOf('GET');
  const ok = (change?: object) =>
    verdictOf(request, {status: 200, body: echoOf(request, change)});
  t.is(ok(), 'ok');
  t.is(ok({path: '/rota/a?request=r-1'}), 'wrong');
  t.is(ok({method: 'PUT'}), 'wrong');
  t.is(ok({bodyHash: '0'}), 'wrong');
  t.is(verdictOf(request, {status: 200, body: '{"path":'}), 'wrong');
  t.is(verdictOf(request, {status: 500, body: ''}), 'unknown');
  const refusal = {status: 503, body: '', outcome: 'not-run'};
  t.is(verdictOf(request, refusal), 'not-run');
});

const verdicts = fc.constantFrom<Verdict[]>(
  'ok',
  'wrong',
  'not-run',
  'unknown',
  'not-sent',
);

testProp(
  'a request that may have been executed is sent again only if idempotent',
  [
    fc.constantFrom<Method[]>('GET', 'POST', 'PUT'),
    fc.array(verdicts, {minLength: 6, maxLength: 6}),
    fc.integer({min: 1, max: 6}),
    fc.integer({min: 1, max: 400}),
  ],
  async (t, method, script, attempts, slowness) => {
    const sent: Verdict[] = [];
    const send = async (...call: Parameters<Sender['send']>) => {
      t.true(call[2] >= 1, 'no time limit');
      const verdict = script[sent.length];
      sent.push(verdict);
      return {verdict} satisfies Attempt;
    };
    let time = 0;
    const result = await callWithRetries(
      {
        sender: {send, close: async () => {}},
        hints: createOwnerHints(0, 1),
        now: () => time,
        sleep: async timeMs => {
          time += timeMs * slowness;
        },
      },
      {targets: HOSTS, deadlineMs: 10_000, attemptMs: 10_000, attempts},
      requestOf(method),
    );
    const safe: readonly Verdict[] =
      method === 'POST'
        ? ['not-run', 'not-sent']
        : ['not-run', 'not-sent', 'unknown'];
    t.true(sent.slice(0, -1).every(verdict => safe.includes(verdict)));
    t.is(result.verdict, sent[sent.length - 1]);
    const isOver = sent.length === attempts || time + 50 >= 10_000;
    t.true(isOver || !safe.includes(result.verdict));
  },
  {seed: 20261203, numRuns: 300},
);

test('hints are bounded and forget the oldest', t => {
  const hints = createOwnerHints(2, 4);
  hints.record('rota-1', HOSTS[0]);
  hints.record('rigs-1', HOSTS[1]);
  hints.record('rota-2', HOSTS[2]);
  hints.record('case-1', HOSTS[0]);
  t.is(hints.size(), 2);
  t.is(hints.find('rota-9'), HOSTS[2]);
  t.is(hints.find('rigs-1'), undefined);
});

test('flags that make no load are refused', t => {
  const refused = {instanceOf: RangeError};
  t.throws(() => readLoadOptions({targets: 'localhost:80'}), refused);
  t.throws(() => readLoadOptions({request: 'FETCH /a'}), refused);
  t.throws(() => readLoadOptions({rate: 0}), refused);
});

test('a load is answered by an upstream and adds up', async t => {
  const running = await startUpstream(readOptions({'service-ms': 1}));
  t.teardown(running.stop);
  const options = readLoadOptions({
    targets: `127.0.0.1:${running.address.port}`,
    request: ['GET /rota/{key} 4', 'PUT /season/{key} 1 70000', 'HEAD /rota/b'],
    rate: 100,
    seconds: 1,
    run: 'r',
  });
  const tally = createTally();
  await runLoad(options, tally.add);
  const {requests, verdicts} = tally.summary();
  t.is(verdicts.ok, requests);
  const executed = running.upstream.journal.executions().map(e => e.path);
  const planned = [...planRequests(options.workload)].map(r => r.path);
  t.deepEqual([...executed].sort(), [...planned].sort());
});
