import net, {type AddressInfo, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import http from 'node:http';
import {EventEmitter, once} from 'node:events';
import test from 'ava';
import {
  abortResponse,
  createPools,
  exchange,
  type ExchangeResult,
  type ResponseWriter,
} from '../../src/upstream/index.js';

/** Starts a server that writes a response and then calls `end` on the connection. */
async function startServer(response: string, end: (socket: Socket) => void) {
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(response, () => end(socket)));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {server, port: (server.address() as AddressInfo).port};
}

/** The outcome of an exchange and the response that the caller received. */
interface ProxyResult {
  readonly kind: ExchangeResult['kind'];
  /** The connection of the caller was closed without a reset. */
  readonly ended: boolean;
  readonly text: string;
}

/** Forwards one response to a caller and returns the outcome. */
async function proxyResponse(port: number): Promise<ProxyResult> {
  const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 1000});
  const pool = pools.get({host: '127.0.0.1', port}, 1);
  let settle: (result: ExchangeResult) => void;
  const ended = new Promise<ExchangeResult>(resolve => (settle = resolve));
  const proxy = http.createServer((_, response) => {
    const call = {method: 'GET', path: '/', headers: ['Host', 'a'], body: null};
    exchange(pool, call, response, {
      beforeSend: () => true,
      onHead: head => head.headers,
      onEnd: result => {
        if (result.kind !== 'answered') abortResponse(response);
        settle(result);
      },
    });
  });
  proxy.listen(0, '127.0.0.1');
  await once(proxy, 'listening');
  const {port: proxyPort} = proxy.address() as AddressInfo;
  const caller = net.connect(proxyPort, '127.0.0.1');
  let text = '';
  let isReset = false;
  caller.on('data', part => (text += part.toString()));
  caller.on('error', () => (isReset = true));
  // A reset that is read together with the last bytes is told as an end, but
  // leaves the connection without a peer address.
  caller.on('end', () => (isReset ||= caller.remoteAddress === undefined));
  caller.write('GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n');
  const closed = new Promise(resolve => caller.once('close', resolve));
  const [result] = await Promise.all([ended, closed]);
  proxy.close();
  return {kind: result.kind, ended: !isReset, text};
}

const HEAD = 'HTTP/1.1 200 OK\r\n';

/** Marks the body of a response in chunks as whole. */
const LAST_CHUNK = /\r\n0\r\n/;

test('a response without a length is broken if its connection is reset', async t => {
  const {server, port} = await startServer(`${HEAD}\r\npart`, socket => {
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const {kind, ended, text} = await proxyResponse(port);
  t.is(kind, 'broken');
  t.false(ended);
  t.notRegex(text, LAST_CHUNK);
  server.close();
});

for (const link of [
  '</a>; rel=preload, </b>; rel=preload',
  '</a>; rel="preload stylesheet"',
  'x',
]) {
  test(`early hints do not break the response that follows: ${link}`, async t => {
    const hints = `HTTP/1.1 103 Early Hints\r\nLink: ${link}\r\n\r\n`;
    const response = `${HEAD}Content-Length: 4\r\n\r\npart`;
    const {server, port} = await startServer(hints + response, () => {});
    const {kind, text} = await proxyResponse(port);
    t.is(kind, 'answered');
    t.true(text.endsWith('\r\n\r\npart'));
    server.close();
  });
}

/** Runs in a worker, so that it continues while the main thread is blocked. */
const RESETTING_SERVER = `
const net = require('node:net');
const {parentPort} = require('node:worker_threads');
const server = net.createServer(socket => {
  socket.on('error', () => {});
  socket.once('data', () => {
    socket.write('HTTP/1.1 200 OK\\r\\n\\r\\npart');
    setTimeout(() => socket.write('more', () => socket.resetAndDestroy()), 50);
  });
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

test('an answer without a length that is reset while the process is busy is broken', async t => {
  const worker = new Worker(RESETTING_SERVER, {eval: true});
  t.teardown(() => worker.terminate());
  const [port] = (await once(worker, 'message')) as [number];
  setTimeout(() => {
    const end = Date.now() + 300;
    while (Date.now() < end);
  }, 30);
  const {kind, ended, text} = await proxyResponse(port);
  t.is(kind, 'broken');
  t.false(ended);
  t.notRegex(text, LAST_CHUNK);
});

test('a response without a length is complete when its connection is closed', async t => {
  const {server, port} = await startServer(`${HEAD}\r\nwhole`, socket => {
    socket.end();
  });
  const {kind, ended, text} = await proxyResponse(port);
  t.is(kind, 'answered');
  t.true(ended);
  t.regex(text, /content-length: 5\r\n/i);
  t.regex(text, /\r\n\r\nwhole$/);
  t.notRegex(text, /chunked/i);
  server.close();
});

test('a chunked response without its last chunk is broken', async t => {
  const chunked = `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const {server, port} = await startServer(`${chunked}4\r\npart\r\n`, socket =>
    socket.end(),
  );
  const {kind, ended} = await proxyResponse(port);
  t.is(kind, 'broken');
  t.false(ended);
  server.close();
});

/**
 * A response of which each part fills the receiver, for 100 ms each time, and
 * the text that it has received.
 */
function createSlowResponse() {
  const parts: string[] = [];
  const response = Object.assign(new EventEmitter(), {
    useChunkedEncodingByDefault: true,
    writeHead: () => {},
    write: (part: Buffer) => {
      parts.push(part.toString());
      setTimeout(() => response.emit('drain'), 100);
      return false;
    },
    end: (last?: Buffer) => {
      if (last) parts.push(last.toString());
    },
  });
  return {response: response as unknown as ResponseWriter, parts};
}

const ENDS_WHILE_FULL = [
  ['without a length is complete', '', 'answered'],
  [
    'that is cut short is broken',
    'Connection: close\r\nContent-Length: 99\r\n',
    'broken',
  ],
] as const;

for (const [name, headers, kind] of ENDS_WHILE_FULL) {
  test(`a response ${name} when its connection is closed while its receiver is full`, async t => {
    const {server, port} = await startServer(
      `${HEAD}${headers}\r\none`,
      socket => {
        setTimeout(() => socket.end('two'), 30);
      },
    );
    t.teardown(() => server.close());
    const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 1000});
    const pool = pools.get({host: '127.0.0.1', port}, 1);
    const call = {method: 'GET', path: '/', headers: ['Host', 'a'], body: null};
    const {response, parts} = createSlowResponse();
    const result = await new Promise<ExchangeResult>(onEnd => {
      exchange(pool, call, response, {
        beforeSend: () => true,
        onHead: head => head.headers,
        onEnd,
      });
    });
    t.is(result.kind, kind);
    t.is(parts.join(''), 'onetwo');
  });
}
