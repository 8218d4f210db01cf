import http from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {setTimeout as sleep} from 'node:timers/promises';
import {createMetadataStore} from '../../platform/store.js';
import {startMetadataStore} from '../../standin/fleet/index.js';

/** Starts a store that answers each call with a status and an object. */
async function startStore(status: number, object: unknown) {
  const server = http.createServer((request, response) => {
    request.resume();
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(object));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    store: createMetadataStore(`127.0.0.1:${port}`),
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

for (const expected of [0, 5]) {
  test(`a conflicting write at version ${expected} names the object that is stored`, async t => {
    const object = {metadata: {name: 'ranges.desk', revision: 8}, spec: {a: 1}};
    const {store, close} = await startStore(409, object);
    t.teardown(close);
    const key = 'fleet/ranges.desk';
    t.deepEqual(await store.put(key, '{}', expected), {
      kind: 'conflict',
      current: {key, value: '{"a":1}', version: 8},
    });
  });
}

/** Returns a handler of errors that are expected once a test has ended. */
function throwUnlessAborted(signal: AbortSignal) {
  return (error: Error) => {
    if (!signal.aborted) throw error;
  };
}

/** Seconds for which changes are written, and how many in each. */
const SECONDS = 4;
const CHANGES_PER_SECOND = 10;

for (const {isAwaited, mostCalls, mostDelayMs} of [
  {isAwaited: false, mostCalls: 2.3, mostDelayMs: 500},
  {isAwaited: true, mostCalls: 4.3, mostDelayMs: 250},
]) {
  const kind = isAwaited ? 'awaited changes' : 'changes';
  test(`${kind} in series are read by few calls within ${mostDelayMs} ms`, async t => {
    const standin = await startMetadataStore();
    const controller = new AbortController();
    t.teardown(() => {
      controller.abort();
      standin.close();
    });
    const store = createMetadataStore(standin.address);
    const {revision} = await store.list('fleet/');
    const writtenAt = new Map<string, number>();
    const delays: number[] = [];
    const follow = async () => {
      const {signal} = controller;
      const awaited = () => isAwaited;
      for await (const {key} of store.watch(
        'fleet/',
        revision,
        signal,
        awaited,
      )) {
        delays.push(performance.now() - (writtenAt.get(key) ?? 0));
      }
    };
    follow().catch(throwUnlessAborted(controller.signal));
    const before = standin.calls();
    const count = SECONDS * CHANGES_PER_SECOND;
    for (let index = 0; index < count; index++) {
      writtenAt.set(`fleet/member.${index}`, performance.now());
      standin.write('fleet', `member.${index}`, {index});
      await sleep(1000 / CHANGES_PER_SECOND);
    }
    const callsPerSecond = (standin.calls() - before) / SECONDS;
    await sleep(mostDelayMs);
    t.log(`${callsPerSecond} calls a second, ${Math.max(...delays)} ms`);
    t.true(callsPerSecond <= mostCalls, `${callsPerSecond} calls a second`);
    t.is(delays.length, count);
    t.true(Math.max(...delays) <= mostDelayMs + TIMER_TOLERANCE_MS);
  });
}

/** Time by which timers of a busy process may be late, in milliseconds. */
const TIMER_TOLERANCE_MS = 100;

/** Watches the configuration and the fleet of a store while the fleet changes. */
async function watchChangingFleet(intervalMs = 150) {
  const standin = await startMetadataStore();
  standin.write('config', 'main', {version: 1});
  const store = createMetadataStore(standin.address);
  const controller = new AbortController();
  const {signal} = controller;
  const {revision} = await store.list('config/');
  const seen: number[] = [];
  const follow = async (prefix: string) => {
    for await (const {key} of store.watch(prefix, revision, signal)) {
      if (key === 'config/main') seen.push(performance.now());
    }
  };
  for (const prefix of ['config/', 'fleet/'])
    follow(prefix).catch(throwUnlessAborted(signal));
  let count = 0;
  const writing = setInterval(() => {
    standin.write('fleet', 'member.a', {count: ++count});
  }, intervalMs);
  return {
    standin,
    seen,
    stopWriting: () => clearInterval(writing),
    close: () => {
      clearInterval(writing);
      controller.abort();
      standin.close();
    },
  };
}

test('the configuration is hardly asked for while the fleet changes', async t => {
  const {standin, close} = await watchChangingFleet();
  t.teardown(close);
  await sleep(2500);
  const before = standin.callsOf('config');
  await sleep(8000);
  t.true(standin.callsOf('config') - before <= 2);
});

for (const intervalMs of [700, 1000, 60_000]) {
  test(`changes of the fleet each ${intervalMs} ms cause no calls for the configuration`, async t => {
    const {standin, close} = await watchChangingFleet(intervalMs);
    t.teardown(close);
    await sleep(2500);
    const before = standin.callsOf('config');
    await sleep(8200);
    const calls = standin.callsOf('config') - before;
    // A call waits for 2 s at least.
    t.true(calls <= 4, `${calls} calls`);
  });
}

test('a change of the configuration is seen at once while the fleet changes', async t => {
  const {standin, seen, close} = await watchChangingFleet();
  t.teardown(close);
  await sleep(3500);
  const writtenAt = performance.now();
  standin.write('config', 'main', {version: 2});
  await sleep(300);
  t.true(seen[0] - writtenAt <= 200, `${seen[0] - writtenAt} ms`);
});

for (const ends of [false, true]) {
  const when = ends ? 'after the last change of the fleet' : 'meanwhile';
  test(`a configuration is seen in time though its watch was lost ${when}`, async t => {
    const {standin, seen, stopWriting, close} = await watchChangingFleet();
    t.teardown(close);
    await sleep(3500);
    standin.loseWatches('config');
    if (ends) stopWriting();
    const writtenAt = performance.now();
    standin.write('config', 'main', {version: 2});
    await sleep(1500);
    t.true(seen[0] - writtenAt <= 1200, `${seen[0] - writtenAt} ms`);
  });
}
