import {createHash} from 'node:crypto';
import test, {type ExecutionContext} from 'ava';
import {
  createSlots,
  readOptions,
  startUpstream,
  type Execution,
  type UpstreamFlags,
} from '../../standin/upstream/index.js';

async function startFixture(t: ExecutionContext, flags: UpstreamFlags = {}) {
  const running = await startUpstream(readOptions(flags));
  t.teardown(running.stop);
  const base = `http://127.0.0.1:${running.address.port}`;
  const post = async (path: string, body: object) => {
    const answer = await fetch(base + path, {
      method: 'POST',
      body: JSON.stringify(body),
    });
    return {status: answer.status, body: await answer.json()};
  };
  const executions = () => running.upstream.journal.executions();
  return {base, post, executions};
}

const KEYED = {'vanillaspool-slice': '3', 'vanillaspool-epoch': '7'};

/** Waits until the last execution has ended, and returns it. */
async function waitForOutcome(executions: () => readonly Execution[]) {
  for (;;) {
    const last = executions().at(-1);
    if (last && last.outcome !== 'running') return last;
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

test('a keyed request executes only under a grant', async t => {
  const {base, post, executions} = await startFixture(t);
  const refused = await fetch(`${base}/rota/a`, {headers: KEYED});
  t.is(refused.status, 409);
  t.is(refused.headers.get('vanillaspool-fenced'), 'true');
  const grant = {process: 'p', sequence: 0, until: 0, slices: []};
  const {clock} = (await post('/grants', grant)).body as {clock: number};
  const slices = [{slice: 3, epoch: 7}];
  const until = clock + 60_000;
  await post('/grants', {process: 'p', sequence: 1, until, slices});
  const answer = await fetch(`${base}/rota/a`, {headers: KEYED});
  t.like(await answer.json(), {key: 'a', path: '/rota/a'});
  t.deepEqual(
    executions().map(e => e.outcome),
    ['fenced', 'committed'],
  );
  t.is((await post('/grants', {...grant, process: 'q'})).status, 200);
  t.is((await post('/grants', {...grant, sequence: 9})).status, 409);
});

test('a grant withdrawn during an execution prevents its commit', async t => {
  const {base, post, executions} = await startFixture(t, {'service-ms': 100});
  const grant = {process: 'p', sequence: 0, until: Number.MAX_SAFE_INTEGER};
  await post('/grants', {...grant, slices: [{slice: 3, epoch: 7}]});
  const answer = fetch(`${base}/rota/a`, {headers: KEYED});
  while (executions().length === 0) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  await post('/grants', {...grant, sequence: 1, slices: []});
  t.is((await answer).status, 409);
  t.is(executions()[0].outcome, 'fenced');
});

test('a cancelled request is not committed', async t => {
  const {base, executions} = await startFixture(t, {'service-ms': 60_000});
  const aborter = new AbortController();
  const answer = fetch(`${base}/rota/a`, {signal: aborter.signal});
  while (executions().length === 0) {
    await new Promise(resolve => setTimeout(resolve, 1));
  }
  aborter.abort();
  await t.throwsAsync(answer, {any: true});
  t.is((await waitForOutcome(executions)).outcome, 'cancelled');
});

test('the response to an upload echoes its length and hash', async t => {
  const {base} = await startFixture(t);
  const body = Buffer.alloc(3_000_000, 'season');
  const answer = await fetch(`${base}/season/x`, {method: 'PUT', body});
  const bodyHash = createHash('sha256').update(body).digest('hex');
  t.like(await answer.json(), {bodyBytes: body.length, bodyHash});
});

test('a draining upstream sheds new requests', async t => {
  const {base, post, executions} = await startFixture(t);
  await post('/drain', {});
  const answer = await fetch(`${base}/rota/a`);
  t.is(answer.status, 503);
  t.is(answer.headers.get('vanillaspool-shed'), 'true');
  t.is((await fetch(`${base}/health`)).status, 503);
  t.deepEqual(executions(), []);
});

test('a deadline that expires during an execution prevents its commit', async t => {
  const {base, executions} = await startFixture(t, {'service-ms': 50});
  const headers = {'vanillaspool-deadline': '5'};
  t.is((await fetch(`${base}/rota/a`, {headers})).status, 504);
  t.is(executions()[0].outcome, 'expired');
});

test('requests with an injected response fault are still executed', async t => {
  const {base, executions} = await startFixture(t);
  for (const fault of ['short', 'reset']) {
    const answer = fetch(`${base}/rota/a?fault=${fault}`);
    await t.throwsAsync(answer.then(a => a.text()));
  }
  const none = await fetch(`${base}/rota/a?status=304`);
  t.is(none.status, 304);
  t.deepEqual(
    executions().map(e => e.outcome),
    ['committed', 'committed', 'committed'],
  );
});

test('slots limit concurrent executions and are acquired in order of arrival', async t => {
  const slots = createSlots(2);
  const held: number[] = [];
  const takers = [0, 1, 2, 3, 4].map(async number => {
    await slots.acquire();
    held.push(number);
  });
  await Promise.all(takers.slice(0, 2));
  t.deepEqual([held, slots.inUse(), slots.queued()], [[0, 1], 2, 3]);
  slots.release();
  await takers[2];
  t.deepEqual([held, slots.inUse(), slots.queued()], [[0, 1, 2], 2, 2]);
  [1, 2, 3, 4].forEach(() => slots.release());
  await Promise.all(takers);
  t.deepEqual([slots.inUse(), slots.queued()], [0, 0]);
});
