import test from 'ava';
import {once} from 'node:events';
import net from 'node:net';
import {createHandlerServer} from '../../src/sidecar/index.js';
import type {EventFields} from '../../src/telemetry/index.js';

const HEADER_TIMEOUT_MS = 200;
const IDLE_MS = 5000;

const REQUEST = 'POST /book/x HTTP/1.1\r\nHost: a.example\r\n\r\n';

/** Starts a server that counts what it handles, and connects to it. */
async function startServer() {
  const handled: string[] = [];
  const logged: EventFields[] = [];
  const server = createHandlerServer(
    (request, response) => {
      handled.push(request.url ?? '');
      response.end('done');
    },
    HEADER_TIMEOUT_MS,
    IDLE_MS,
    (_, fields = {}) => logged.push(fields),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const caller = net.connect(port, '127.0.0.1');
  let received = '';
  caller.on('data', part => (received += part.toString()));
  // A reset is as good an end as any other.
  caller.on('error', () => {});
  return {server, handled, logged, caller, received: () => received};
}

test('a request that crosses the time-out of its connection is not run', async t => {
  const {server, handled, caller, received} = await startServer();
  t.teardown(() => server.close());
  server.prependListener('clientError', () => caller.write(REQUEST));
  await once(caller, 'close');
  await new Promise(resolve => setTimeout(resolve, IDLE_MS / 20));
  t.deepEqual(handled, []);
  t.false(received().includes('200 OK'));
});

test('the log tells which connection timed out and what it had sent', async t => {
  const {server, logged, caller} = await startServer();
  t.teardown(() => server.close());
  caller.write('POST /book/x HTTP/1.1\r\n');
  await once(caller, 'close');
  const [{code, bytesRead, ageMs, headerTimeoutMs}] = logged;
  t.is(code, 'ERR_HTTP_REQUEST_TIMEOUT');
  t.is(bytesRead, 23);
  t.true((ageMs as number) >= HEADER_TIMEOUT_MS);
  t.is(headerTimeoutMs, HEADER_TIMEOUT_MS);
});
