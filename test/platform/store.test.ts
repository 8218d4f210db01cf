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
    void follow();
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
