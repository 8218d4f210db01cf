import http from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import test from 'ava';
import {createInstanceCalls} from '../../platform/calls.js';
import type {Recipient} from '../../src/sidecar/index.js';
import {createPools} from '../../src/upstream/index.js';

const RANGE = {from: 0, to: 99, fence: 2};

/** Answer to a request that ended before. */
const LATE_COPY =
  'HTTP/1.1 200 OK\r\nX-Vanillaspool-Request-Id: r1\r\n' +
  'X-Vanillaspool-Response-Signature: s\r\nContent-Length: 0\r\n\r\n';

/** Answer to an earlier call. */
const EARLIER_RELEASE =
  'HTTP/1.1 200 OK\r\nX-Vanillaspool-Handover: h0\r\nContent-Length: 0\r\n\r\n';

/**
 * Starts an instance that sends a further answer on a connection when the next
 * request comes there.
 *
 * @param further Text that it owes after an answer, and at the start.
 */
async function startInstance(further: {first?: string; next?: string}) {
  const sockets: Socket[] = [];
  const server = http.createServer((request, response) => {
    const {socket, url = ''} = request;
    const owed = sockets.includes(socket) ? further.next : further.first;
    if (owed) socket.write(owed);
    sockets.push(socket);
    if (url === '/-/release')
      response.setHeader('X-Vanillaspool-Handover', 'h');
    request.resume();
    response.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 4000});
  const calls = createInstanceCalls({
    shared: address => pools.get(address, 1),
    open: pools.open,
  });
  const to: Recipient = {
    incarnation: {node: '10.1.0.8:7620', id: 'i-1', born: 1},
    service: 'stock',
    address: {host: '127.0.0.1', port},
    state: 'ready',
    isSilent: false,
  };
  return {
    calls,
    to,
    sockets,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

// Guards against keys that go to the next holder while the last one works on them
// (OWNER): an answer to another request is taken for a release.
test('an answer to a request is not taken for the answer to a release', async t => {
  const {calls, to, close} = await startInstance({first: LATE_COPY});
  t.teardown(close);
  const {kind} = await calls.release(to, RANGE, 1000);
  t.is(kind, 'unknown');
});

test('an answer to a request is not taken for the answer to a grant', async t => {
  const {calls, to, close} = await startInstance({first: LATE_COPY});
  t.teardown(close);
  const {kind} = await calls.grant(to, RANGE, '', 4000, 1000);
  t.is(kind, 'unanswered');
});

test('an answer to an earlier call is not taken for the answer to a release', async t => {
  const {calls, to, sockets, close} = await startInstance({
    next: EARLIER_RELEASE,
  });
  t.teardown(close);
  t.is((await calls.grant(to, RANGE, '', 4000, 1000)).kind, 'granted');
  for (let turn = 0; turn < 3; turn++) {
    const released = await calls.release(to, RANGE, 1000);
    t.is(released.kind === 'released' && released.handover, 'h');
  }
  t.is(new Set(sockets).size, 4);
});

test('a release without a handover token is not known to be one', async t => {
  const text = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';
  const {calls, to, close} = await startInstance({first: text});
  t.teardown(close);
  t.is((await calls.release(to, RANGE, 1000)).kind, 'unknown');
});
