import http, {type Server} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {createChannels, serveChannels} from '../../src/channel/index.js';
import {
  abortResponse,
  createPools,
  exchange,
  type Transport,
} from '../../src/upstream/index.js';

/** Head of an answer that ends with its connection. */
const HEAD = 'HTTP/1.1 200 OK\r\n\r\n';

/** Its beginning. */
const ENDLESS = `${HEAD}part`;

/** A server whose connections can be closed as the system closes them. */
interface Process {
  readonly port: number;
  /** Closes all connections in order, as the end of a process does. */
  readonly kill: () => void;
}

function trackConnections(server: Server | net.Server): () => void {
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
  });
  return () => {
    server.close();
    for (const socket of sockets) socket.destroySoon();
  };
}

async function listen(server: Server | net.Server): Promise<Process> {
  const kill = trackConnections(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {port: (server.address() as AddressInfo).port, kill};
}

function startUpstream(text: string, end: (socket: Socket) => void) {
  return listen(
    net.createServer(socket => {
      socket.once('data', () => socket.write(text, () => end(socket)));
    }),
  );
}

/** Starts a process that forwards each request. */
function startForwarder(transport: Transport): Promise<Process> {
  const handle: Parameters<typeof serveChannels>[1]['handle'] = (
    {method = ''},
    response,
  ) => {
    const call = {method, path: '/', headers: ['Host', 'a'], body: null};
    exchange(transport, call, response, {
      beforeSend: () => true,
      onHead: ({headers}) => headers,
      onEnd: ({kind}) => kind !== 'answered' && abortResponse(response),
    });
  };
  const server = http.createServer(handle);
  const onProtocolError = () => {};
  serveChannels(server, {handle, idleTimeoutMs: 9000, onProtocolError});
  return listen(server);
}

const addressOf = ({port}: Process) => ({host: '127.0.0.1', port});

const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 1000});
const poolTo = (process: Process) => pools.get(addressOf(process), 4);

/** Returns channels to a process once one is open. */
async function channelTo(process: Process): Promise<Transport> {
  const isOpen = new Promise(resolve => {
    const channels = createChannels({
      ...{connectTimeoutMs: 500, idleTimeoutMs: 9000},
      clock: () => performance.now(),
      fallback: () => ({dispatch: () => true}),
      onSilent: () => {},
      onConnect: () => resolve(channels.to(addressOf(process))),
    });
    const noRequest = {method: 'GET', path: '/', headers: [], body: null};
    channels.to(addressOf(process)).dispatch(noRequest, {});
  });
  return (await isOpen) as Transport;
}

/** Waits for the close of a stream, also after an error. */
const closeOf = (stream: NodeJS.EventEmitter) =>
  new Promise(resolve => stream.once('close', resolve));

/** Reads an answer as a client of HTTP/1.1, from its first part on. */
async function readAnswer(
  {port}: Process,
  onPart: () => void,
): Promise<{readonly text: string; readonly isWhole: boolean}> {
  const request = http.get({port, host: '127.0.0.1', agent: false});
  request.on('error', () => {}); // The answer is not whole.
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  let text = '';
  response.on('data', part => {
    if (text === '') onPart();
    text += String(part);
  });
  response.on('error', () => {}); // The answer is not whole.
  await closeOf(response);
  return {text, isWhole: response.complete};
}

// Guards against a part of an answer that looks whole after the kill of a daemon,
// whose connections the system closes in order (MIXED).
for (const [size, part] of [
  ['short', 'part'],
  ['long', 'x'.repeat(100_000)],
] as const) {
  for (const [hop, killed] of [
    ['HTTP', 'beside the instance'],
    ['HTTP', 'that the client asked'],
    ['a channel', 'beside the instance'],
    ['a channel', 'that the client asked'],
  ] as const) {
    test(`a ${size} part of an answer without a length does not look whole after the kill of the daemon ${killed}, over ${hop}`, async t => {
      const upstream = await startUpstream(HEAD + part, () => {});
      t.teardown(upstream.kill);
      const beside = await startForwarder(poolTo(upstream));
      t.teardown(beside.kill);
      const transport =
        hop === 'HTTP' ? poolTo(beside) : await channelTo(beside);
      const entry = await startForwarder(transport);
      t.teardown(entry.kill);
      const process = killed === 'beside the instance' ? beside : entry;
      const {text, isWhole} = await readAnswer(entry, process.kill);
      t.true(part.startsWith(text));
      t.false(isWhole);
    });
  }
}

/** Sends a request and returns all bytes until the end of the connection. */
async function readRaw({port}: Process, head: string) {
  const socket = net.connect(port, '127.0.0.1');
  let text = '';
  let isReset = false;
  socket.on('data', part => (text += String(part)));
  socket.on('error', () => (isReset = true));
  socket.on('end', () => (isReset ||= socket.remoteAddress === undefined));
  socket.write(`${head}\r\nHost: a\r\nConnection: close\r\n\r\n`);
  await closeOf(socket);
  return {text, isReset};
}

for (const [name, body, framing] of [
  ['short', 'whole', /content-length: 5\r\n/i],
  ['long', 'x'.repeat(100_000), /transfer-encoding: chunked\r\n/i],
] as const) {
  test(`a client of HTTP/1.1 can tell the end of a ${name} body without a length`, async t => {
    const upstream = await startUpstream(HEAD + body, socket => socket.end());
    t.teardown(upstream.kill);
    const daemon = await startForwarder(poolTo(upstream));
    t.teardown(daemon.kill);
    const raw = await readRaw(daemon, 'GET / HTTP/1.1');
    t.regex(raw.text, framing);
    const {text, isWhole} = await readAnswer(daemon, () => {});
    t.is(text, body);
    t.true(isWhole);
  });
}

test('a client of HTTP/1.0 gets a body without a length with its length', async t => {
  const upstream = await startUpstream(ENDLESS, socket => socket.end(' two'));
  t.teardown(upstream.kill);
  const daemon = await startForwarder(poolTo(upstream));
  t.teardown(daemon.kill);
  const {text, isReset} = await readRaw(daemon, 'GET / HTTP/1.0');
  t.false(isReset);
  t.regex(text, /content-length: 8\r\n/i);
  t.regex(text, /\r\n\r\npart two$/);
});

for (const [name, text, end] of [
  ['cut', ENDLESS, (socket: Socket) => void socket.resetAndDestroy()],
  [
    'too long',
    ENDLESS + 'x'.repeat(2 * 1024 * 1024),
    (socket: Socket) => void socket.end(),
  ],
] as const) {
  test(`a client of HTTP/1.0 gets nothing of a body without a length that is ${name}`, async t => {
    const upstream = await startUpstream(text, end);
    t.teardown(upstream.kill);
    const daemon = await startForwarder(poolTo(upstream));
    t.teardown(daemon.kill);
    t.deepEqual(await readRaw(daemon, 'GET / HTTP/1.0'), {
      text: '',
      isReset: true,
    });
  });
}

for (const [method, status] of [
  ['HEAD', 200],
  ['GET', 204],
  ['GET', 304],
] as const) {
  for (const version of ['1.0', '1.1']) {
    test(`an answer to ${method} with ${status} has no body, for a client of HTTP/${version}`, async t => {
      const head = `HTTP/1.1 ${status} OK\r\n\r\n`;
      const upstream = await startUpstream(head, socket => socket.end());
      t.teardown(upstream.kill);
      const daemon = await startForwarder(poolTo(upstream));
      t.teardown(daemon.kill);
      const request = `${method} / HTTP/${version}`;
      const {text, isReset} = await readRaw(daemon, request);
      t.false(isReset);
      t.true(text.startsWith(`HTTP/1.1 ${status} `));
      t.regex(text, /\r\n\r\n$/);
      t.notRegex(text, /chunked[^]*\r\n\r\n0\r\n/i);
    });
  }
}
