import test from 'ava';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {constants} from 'node:os';
import {promisify} from 'node:util';
import {
  createStop,
  type Attempt,
  type RequestState,
} from '../../src/gateway/index.js';
import {
  LOAD_HEADER,
  PEER_CONNECTIONS,
  UNKNOWN_LOAD,
  createRouteDurations,
  forward,
  type Flow,
  type ForwardContext,
  type Work,
  NEVER_PROBED,
  peerStatusOf,
} from '../../src/relay/index.js';
import {parseAddress} from '../../src/model/index.js';
import {createHttpServer, listenAt} from '../../src/sidecar/index.js';
import type {EventFields} from '../../src/telemetry/index.js';
import {createPools} from '../../src/upstream/index.js';

const HEADER_TIMEOUT_MS = 200;
const IDLE_MS = 5000;

const REQUEST_LINE = 'POST /book/x HTTP/1.1\r\n';
const REMAINING_HEAD = 'Host: a.example\r\nContent-Length: 0\r\n\r\n';
const REQUEST = REQUEST_LINE + REMAINING_HEAD;

/** Time after which the server has certainly detected a head time-out. */
const HEADER_TIMEOUT_NOTICED_MS = HEADER_TIMEOUT_MS + 2000;

/** Starts a server that records its requests, and connects to it. */
async function startServer(idleMs = IDLE_MS, workMs = 0) {
  const handled: string[] = [];
  const logged: EventFields[] = [];
  const server = createHttpServer(
    (request, response) => {
      handled.push(request.url ?? '');
      setTimeout(() => response.end('done'), workMs);
    },
    HEADER_TIMEOUT_MS,
    idleMs,
    (_, fields = {}) => logged.push(fields),
  );
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const caller = net.connect(port, '127.0.0.1');
  let received = '';
  caller.on('data', part => (received += part.toString()));
  // The connection may end by a reset as well.
  caller.on('error', () => {});
  return {server, handled, logged, caller, received: () => received};
}

test('a request that arrives as its connection times out is not run', async t => {
  const {server, handled, caller, received} = await startServer();
  t.teardown(() => server.close());
  caller.write(REQUEST_LINE);
  server.prependListener('clientError', () => caller.write(REMAINING_HEAD));
  await once(caller, 'close');
  await new Promise(resolve => setTimeout(resolve, IDLE_MS / 20));
  t.deepEqual(handled, []);
  t.false(received().includes('200 OK'));
});

test('a connection opened ahead of its first request is not timed out by the head limit', async t => {
  const {server, handled, caller, received} = await startServer();
  t.teardown(() => caller.destroy());
  t.teardown(() => server.close());
  await new Promise(resolve => setTimeout(resolve, HEADER_TIMEOUT_NOTICED_MS));
  t.is(received(), '');
  caller.write(REQUEST);
  await once(caller, 'data');
  t.deepEqual(handled, ['/book/x']);
  t.true(received().startsWith('HTTP/1.1 200 OK'));
});

test('a connection without a request is closed after the idle time, without a response', async t => {
  const idleMs = HEADER_TIMEOUT_MS + 1500;
  const {server, caller, received} = await startServer(idleMs);
  t.teardown(() => server.close());
  const openedAt = performance.now();
  await once(caller, 'close');
  t.is(received(), '');
  t.true(performance.now() - openedAt >= idleMs - 50);
});

test('the time-out of a second head is not answered in place of the running request', async t => {
  const {server, handled, caller, received} = await startServer(
    IDLE_MS,
    2 * HEADER_TIMEOUT_NOTICED_MS,
  );
  t.teardown(() => server.close());
  caller.write(REQUEST + REQUEST_LINE);
  await new Promise(resolve => caller.once('close', resolve));
  t.deepEqual(handled, ['/book/x']);
  t.is(received(), '');
});

test('a connection that its caller leaves open after a time-out is closed', async t => {
  const {server, caller} = await startServer();
  t.teardown(() => server.close());
  caller.destroy();
  const {port} = server.address() as net.AddressInfo;
  const held = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
  t.teardown(() => held.destroy());
  held.write(REQUEST_LINE);
  held.resume();
  await once(held, 'end');
  await new Promise(resolve => setTimeout(resolve, HEADER_TIMEOUT_NOTICED_MS));
  const open = promisify(server.getConnections.bind(server));
  t.is(await open(), 0);
});

test('the log states which connection timed out and how many bytes it had sent', async t => {
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

/**
 * Starts a server that answers each connection with fixed bytes, as soon as it
 * receives anything.
 */
async function startRawServer(answer: string) {
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(answer));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  return {node: `127.0.0.1:${port}`, close: () => server.close()};
}

/** Forwards one request to a daemon and returns the result. */
async function forwardTo(node: string) {
  const pools = createPools({connectTimeoutMs: 300, keepAliveMs: 1000});
  const state: RequestState = {mayHaveRun: false, isBodyConsumed: false};
  let parts = 0;
  const context: ForwardContext = {
    clock: () => performance.now(),
    peerPools: pools,
    peerTransport: peer => pools.get(parseAddress(peer), PEER_CONNECTIONS),
    loads: () => UNKNOWN_LOAD,
    observeLoad: () => {},
    observeClock: () => {},
    durations: createRouteDurations(() => performance.now()),
    recordAnswer: () => (parts += 1),
    clockAheadMs: () => undefined,
    probe: () => {},
    peerStatus: () => peerStatusOf(NEVER_PROBED, performance.now()),
    loopDelayMs: () => 0,
    log: () => {},
  };
  const work: Work = {
    id: 'r1',
    service: 'desk',
    instance: 'i-1',
    route: 'book',
    repetition: 'once',
    priority: 1,
    callerService: 'desk',
    deadlineAt: context.clock() + 2000,
    objectiveAt: context.clock() + 500,
    method: 'GET',
    host: 'a.example',
    target: '/book/x',
    headers: [],
    body: {kind: 'none'},
  };
  let attempt: Attempt | undefined;
  const entry = http.createServer((request, response) => {
    const course = {bodyMs: 0};
    const stop = createStop(state);
    const flow = {request, response, state, bodyMode: 'none', stop, course};
    const forwarded = forward(context, flow as Flow, node, work, () => true);
    void forwarded.then(known => {
      attempt = known;
      if (!response.headersSent) response.writeHead(500);
      response.end();
    });
  });
  entry.listen(0, '127.0.0.1');
  await once(entry, 'listening');
  const {port} = entry.address() as net.AddressInfo;
  const answer = await fetch(`http://127.0.0.1:${port}/book/x`);
  await answer.arrayBuffer();
  entry.closeAllConnections();
  entry.close();
  await pools.close();
  return {attempt, status: answer.status, parts};
}

test('a response that no handler of a daemon made is not passed on to the caller', async t => {
  for (const status of ['408 Request Timeout', '400 Bad Request', '200 OK']) {
    const raw = `HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`;
    const daemon = await startRawServer(raw);
    const {attempt, status: callerStatus} = await forwardTo(daemon.node);
    daemon.close();
    t.is(callerStatus, 500);
    t.is(attempt?.kind, 'failed');
    t.is(attempt?.kind === 'failed' && attempt.failure.outcome, 'unknown');
  }
});

test('a response that a handler of a daemon made is passed on', async t => {
  const daemon = await startRawServer(
    `HTTP/1.1 400 Bad Request\r\n${LOAD_HEADER}: 1,0,1\r\nContent-Length: 0\r\n\r\n`,
  );
  t.teardown(daemon.close);
  const {attempt, status} = await forwardTo(daemon.node);
  t.is(status, 400);
  t.is(attempt?.kind, 'answered');
});

// Guards against a daemon that is taken for lost while a long answer arrives.
test('each part of a response shows that the daemon lives', async t => {
  const daemon = http.createServer(async (_, response) => {
    response.writeHead(200, {[LOAD_HEADER]: '1,4,20', 'Content-Length': 3});
    for (let part = 0; part < 3; part++) {
      response.write('.');
      await new Promise(resolve => setTimeout(resolve, 50));
    }
    response.end();
  });
  daemon.listen(0, '127.0.0.1');
  await once(daemon, 'listening');
  t.teardown(() => daemon.close());
  const {port} = daemon.address() as net.AddressInfo;
  const {status, parts} = await forwardTo(`127.0.0.1:${port}`);
  t.is(status, 200);
  t.is(parts, 3);
});

/** Error code of a process that may open no more files. */
const TOO_MANY_FILES = -constants.errno.EMFILE;

test('a connection that cannot be accepted does not end the daemon', async t => {
  const {server, logged, caller, received} = await startServer();
  await once(caller, 'connect');
  // As libuv reports it; the limit itself would be that of the whole process.
  const {_handle: handle} = server as unknown as {
    _handle: {onconnection: (error: number) => void};
  };
  t.notThrows(() => handle.onconnection(TOO_MANY_FILES));
  t.is(logged.length, 1);
  t.regex(String(logged[0].message), /EMFILE/);
  caller.write(REQUEST);
  await once(caller, 'data');
  t.regex(received(), /200 OK/);
  caller.destroy();
  server.close();
});

test('an address that is in use is still reported to the caller of listenAt', async t => {
  const {server, logged, caller} = await startServer();
  const {port} = server.address() as net.AddressInfo;
  const other = createHttpServer(
    () => {},
    HEADER_TIMEOUT_MS,
    IDLE_MS,
    (_, fields = {}) => logged.push(fields),
  );
  await t.throwsAsync(listenAt(other, `127.0.0.1:${port}`), {
    code: 'EADDRINUSE',
  });
  t.deepEqual(logged, []);
  caller.destroy();
  server.close();
});
