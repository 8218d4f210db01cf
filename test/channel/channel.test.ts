import test from 'ava';
import http from 'node:http';
import net from 'node:net';
import {once} from 'node:events';
import {
  CHANNEL_PATH,
  CHANNEL_PROTOCOL,
  type ChannelHandler,
} from '../../src/channel/index.js';
import {
  FRAME,
  createFrameReader,
  decodeHead,
  encodeFrame,
  encodeHeadFrame,
  type RequestHead,
} from '../../src/channel/frame.js';
import {NEW_OPENING, wayWithoutChannel} from '../../src/channel/opening.js';
import {
  UnprocessedError,
  exchange,
  type ResponseWriter,
} from '../../src/upstream/index.js';
import {
  createClient,
  listen,
  openChannel,
  pause,
  send,
  startProxy,
  startServer,
} from './fixture.js';

/** Answers with the body of the request. */
const echo: ChannelHandler = (request, response) => {
  void (async () => {
    const {value} = (await request.iterator().next()) as {value?: Buffer};
    const body = value ?? Buffer.from(request.url ?? '');
    response.writeHead(200, ['Content-Length', String(body.length)]);
    response.end(body);
  })();
};

test('each of many requests gets its own answer over few connections', async t => {
  const server = await startServer(echo);
  const proxy = await startProxy(server.address);
  const {transport, close} = await openChannel(proxy.address);
  const ids = Array.from({length: 200}, (_, id) => id);
  const answers = await Promise.all(
    ids.map(id => send(transport, {path: `/${id}`}).received),
  );
  t.deepEqual(
    answers.map(({body}) => body),
    ids.map(id => `/${id}`),
  );
  t.true(proxy.accepted() <= 4);
  close();
  proxy.close();
  server.close();
});

test('a body arrives whole, with its length', async t => {
  const lengths: unknown[] = [];
  const server = await startServer((request, response) => {
    if (request.url !== '/open')
      lengths.push(request.headers['content-length']);
    echo(request, response);
  });
  const {transport, close} = await openChannel(server.address);
  const body = Buffer.alloc(12_000, 'x');
  const answer = await send(transport, {
    method: 'POST',
    body,
  }).received;
  t.is(answer.body, body.toString());
  t.deepEqual(lengths, ['12000']);
  close();
  server.close();
});

test('an answer without a length is marked as chunked, with its hints and trailers', async t => {
  const server = await startServer((_, response) => {
    response.writeEarlyHints({link: ['</a>; rel=preload']});
    response.writeHead(200, []);
    response.write(Buffer.from('first '));
    response.addTrailers([['X-Sum', '7']]);
    response.end('last');
  });
  const {transport, close} = await openChannel(server.address);
  const answer = await send(transport).received;
  t.is(answer.status, 200);
  t.deepEqual(answer.headers, ['Transfer-Encoding', 'chunked']);
  t.is(answer.body, 'first last');
  t.deepEqual(answer.trailers, ['X-Sum', '7']);
  close();
  server.close();
});

test('an answer that breaks off is never complete', async t => {
  const server = await startServer((request, response) => {
    if (request.url === '/open') return echo(request, response);
    response.writeHead(200, []);
    response.write(Buffer.from('part'));
    if (request.url === '/reset') response.socket?.resetAndDestroy();
    else setTimeout(() => void server.channels.close(), 20);
  });
  for (const path of ['/reset', '/closed']) {
    const {transport, close} = await openChannel(server.address);
    const answer = await send(transport, {path}).received;
    t.is(answer.kind, 'error', path);
    t.is(answer.body, 'part');
    close();
  }
  server.close();
});

test('a reset connection breaks off its answers', async t => {
  const server = await startServer((request, response) => {
    if (request.url === '/open') return echo(request, response);
    response.writeHead(200, ['Content-Length', '8']);
    response.write(Buffer.from('part'));
  });
  const proxy = await startProxy(server.address);
  const {transport, close} = await openChannel(proxy.address);
  const exchange = send(transport);
  while (exchange.bytes() === 0) await pause(5);
  proxy.reset();
  t.is((await exchange.received).kind, 'error');
  close();
  proxy.close();
  server.close();
});

test('a receiver that pauses bounds what the server sends, and delays no other answer', async t => {
  const part = Buffer.alloc(16 * 1024, 'x');
  const total = 64 * part.length;
  let written = 0;
  const server = await startServer((request, response) => {
    if (request.url !== '/long') return echo(request, response);
    response.writeHead(200, []);
    const fill = () => {
      while (written < total) {
        written += part.length;
        if (!response.write(part)) return void response.once('drain', fill);
      }
      response.end();
    };
    fill();
  });
  const {transport, close} = await openChannel(server.address);
  let isPaused = true;
  const long = send(transport, {path: '/long'}, {isPaused: () => isPaused});
  while (long.bytes() === 0) await pause(5);
  await pause(100);
  t.true(written <= 6 * part.length);
  t.is((await send(transport, {path: '/short'}).received).body, '/short');
  isPaused = false;
  long.resume();
  const {kind, body} = await long.received;
  t.is(kind, 'complete');
  t.is(body.length, total);
  close();
  server.close();
});

test('an answer that has arrived is passed on though its channel has ended', async t => {
  const server = await startServer((request, response) => {
    if (request.url === '/open') return echo(request, response);
    response.writeHead(200, []);
    response.write(Buffer.from('first '));
    response.end('last');
  });
  const {transport, close} = await openChannel(server.address);
  let isPaused = true;
  const exchange = send(transport, {path: '/'}, {isPaused: () => isPaused});
  while (exchange.bytes() === 0) await pause(5);
  await server.channels.close();
  await pause(50);
  isPaused = false;
  exchange.resume();
  const {kind, body} = await exchange.received;
  t.is(kind, 'complete');
  t.is(body, 'first last');
  close();
  server.close();
});

test('a server that closes hands over the answers that it has written', async t => {
  const part = Buffer.alloc(60 * 1024, 'x');
  const count = 100;
  let answered = 0;
  const server = await startServer((request, response) => {
    if (request.url === '/open') return echo(request, response);
    response.writeHead(200, []);
    response.end(part);
    answered += 1;
  });
  const {transport, close} = await openChannel(server.address);
  const exchanges = Array.from({length: count}, () => send(transport));
  while (answered < count) await pause(1);
  await server.channels.close();
  server.server.closeAllConnections();
  const answers = await Promise.all(exchanges.map(({received}) => received));
  t.true(
    answers.every(({kind, body}) => {
      return kind === 'complete' && body.length === part.length;
    }),
  );
  close();
  server.close();
});

test('a cancelled request closes its response at the server', async t => {
  let closed: ((writer: ResponseWriter) => void) | undefined;
  const response = new Promise<ResponseWriter>(resolve => (closed = resolve));
  let began: (() => void) | undefined;
  const beginning = new Promise<void>(resolve => (began = resolve));
  const server = await startServer((request, writer) => {
    if (request.url === '/open') return echo(request, writer);
    writer.once('close', () => closed?.(writer));
    began?.();
  });
  const {transport, close} = await openChannel(server.address);
  const exchange = send(transport);
  await beginning;
  exchange.abort();
  const writer = await response;
  t.false(writer.writableFinished);
  t.is((await exchange.received).kind, 'error');
  close();
  server.close();
});

test('no request waits for a channel that cannot be opened', async t => {
  const server = net.createServer();
  const address = await listen(server);
  server.close();
  await once(server, 'close');
  const {to, fellBack, close} = createClient();
  const ids = ['/1', '/2', '/3'];
  await Promise.all(ids.map(path => send(to(address), {path}).received));
  t.deepEqual(fellBack, ids);
  close();
});

test('requests that find no channel while one is opened do not open a connection each', async t => {
  const server = await startServer(echo);
  const {to, fellBack, close} = createClient();
  const transport = to(server.address);
  const paths = Array.from({length: 20}, (_, id) => `/${id}`);
  const answers = await Promise.all(
    paths.map(path => send(transport, {path}).received),
  );
  t.deepEqual(fellBack, ['/0']);
  t.deepEqual(
    answers.slice(1).map(({body}) => body),
    paths.slice(1),
  );
  close();
  server.close();
});

// Guards against work that begins after its caller has gone.
test('a request whose caller leaves while it waits for a channel is not sent', async t => {
  const paths: string[] = [];
  const server = await startServer((request, response) => {
    paths.push(request.url ?? '');
    echo(request, response);
  });
  const {to, close} = createClient();
  const transport = to(server.address);
  void send(transport, {path: '/first'});
  let sent: boolean | undefined;
  const call = {method: 'GET', path: '/left', headers: [], body: null};
  const abort = exchange(transport, call, {} as ResponseWriter, {
    beforeSend: () => true,
    onHead: () => undefined,
    onEnd: result => (sent = result.kind !== 'failed' || result.sent),
  });
  const last = send(transport, {path: '/last'}).received;
  abort(new Error('the caller has left'));
  t.false(sent);
  t.is((await last).body, '/last');
  t.deepEqual(paths, ['/last']);
  close();
  server.close();
});

test('a request that comes after the channels were closed does not wait', async t => {
  const server = await startServer(echo);
  const {to, close} = createClient();
  const transport = to(server.address);
  void send(transport, {path: '/first'});
  close();
  const late = send(transport, {path: '/late'}).received;
  const ended = await Promise.race([late, pause(1000)]);
  t.not(ended, undefined);
  server.close();
});

test('requests do not wait long for a daemon that accepts connections and opens no channel', async t => {
  const server = net.createServer(() => {});
  const address = await listen(server);
  const {to, fellBack, close} = createClient();
  const ids = ['/1', '/2', '/3'];
  const startedAt = performance.now();
  await Promise.all(ids.map(path => send(to(address), {path}).received));
  t.deepEqual(fellBack, ids);
  t.true(performance.now() - startedAt < 250);
  close();
  server.close();
});

test('requests wait for a channel while its connection is not accepted, but for the first', t => {
  const first = wayWithoutChannel(NEW_OPENING, 0);
  t.is(first.kind, 'fallback');
  const second = wayWithoutChannel(first.opening, 1000);
  t.is(second.kind, 'wait');
  t.is(
    wayWithoutChannel({bypassCount: 1, acceptedAt: 1000}, 1050).kind,
    'wait',
  );
  const late = wayWithoutChannel({bypassCount: 1, acceptedAt: 1000}, 1100);
  t.is(late.kind, 'fallback');
  t.is(wayWithoutChannel(undefined, 0).kind, 'fallback');
});

test('a request that the server did not read before it closed is known as unprocessed', async t => {
  let goAway: (() => void) | undefined;
  // Reads nothing after the handshake, then says that it has read request 1.
  const server = http.createServer();
  server.on('upgrade', (_, socket) => {
    socket.write(
      'HTTP/1.1 101 Switching Protocols\r\n' +
        `Connection: Upgrade\r\nUpgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`,
    );
    goAway = () => socket.end(Buffer.from([9, 0, 0, 0, 10, 1, 0, 0, 0]));
  });
  const address = await listen(server);
  const {to, fellBack, close} = createClient();
  const transport = to(address);
  await send(transport).received;
  while (!goAway) await pause(5);
  await pause(20);
  const first = send(transport);
  const second = send(transport);
  t.is(fellBack.length, 1);
  goAway();
  const [read, unread] = await Promise.all([first.received, second.received]);
  t.false(read.error instanceof UnprocessedError);
  t.true(unread.error instanceof UnprocessedError);
  close();
  server.close();
});

test('a channel that falls silent is left, and a new one is opened', async t => {
  const server = await startServer(echo);
  const proxy = await startProxy(server.address);
  const {transport, fellBack, silences, close} = await openChannel(
    proxy.address,
  );
  const before = fellBack.length;
  await pause(300);
  proxy.silence();
  const stuck = send(transport);
  await pause(400);
  await send(transport, {path: '/next'}).received;
  t.deepEqual(fellBack.slice(before), ['/next']);
  await pause(100);
  const answer = await send(transport, {path: '/later'}).received;
  t.is(answer.body, '/later');
  t.is(proxy.accepted(), 2);
  t.is(silences(), 1);
  close();
  t.is((await stuck.received).kind, 'error');
  proxy.close();
  server.close();
});

test('a server that is only slow keeps its channels and its requests', async t => {
  const server = await startServer((request, response) => {
    const delayMs = request.url === '/open' ? 0 : 900;
    setTimeout(() => echo(request, response), delayMs);
  });
  const proxy = await startProxy(server.address);
  const {transport, close} = await openChannel(proxy.address);
  const exchanges = [];
  for (let i = 0; i < 8; i++) {
    exchanges.push(send(transport, {path: `/${i}`}));
    await pause(150);
  }
  const answers = await Promise.all(exchanges.map(({received}) => received));
  t.deepEqual(
    answers.map(({body}) => body),
    [0, 1, 2, 3, 4, 5, 6, 7].map(i => `/${i}`),
  );
  t.true(proxy.accepted() <= 4);
  close();
  proxy.close();
  server.close();
});

test('a channel without requests is closed, one with an open request is not', async t => {
  const server = await startServer((request, response) => {
    const delayMs = request.url === '/slow' ? 600 : 0;
    setTimeout(() => echo(request, response), delayMs);
  });
  const {transport, fellBack, close} = await openChannel(server.address, 200);
  const before = fellBack.length;
  t.is((await send(transport, {path: '/slow'}).received).body, '/slow');
  await pause(400);
  await send(transport, {path: '/idle'}).received;
  t.deepEqual(fellBack.slice(before), ['/idle']);
  close();
  server.close();
});

test('a server closes a channel whose client has vanished', async t => {
  const server = await startServer(echo, 200);
  const proxy = await startProxy(server.address);
  const {close} = await openChannel(proxy.address);
  proxy.silence();
  const openSockets = () =>
    new Promise(resolve => server.server.getConnections((_, n) => resolve(n)));
  t.is(await openSockets(), 1);
  await pause(400);
  t.is(await openSockets(), 0);
  close();
  proxy.close();
  server.close();
});

test('a daemon without the protocol is asked for a channel once', async t => {
  let requests = 0;
  const server = http.createServer((_, response) => {
    requests += 1;
    response.end();
  });
  const address = await listen(server);
  const {to, fellBack, close} = createClient();
  for (const path of ['/1', '/2', '/3']) {
    await send(to(address), {path}).received;
    await pause(50);
  }
  t.deepEqual(fellBack, ['/1', '/2', '/3']);
  t.is(requests, 1);
  close();
  server.closeAllConnections();
  server.close();
});

test('a receiver that fails ends its own request only', async t => {
  const server = await startServer(echo);
  const {transport, close} = await openChannel(server.address);
  const failing = send(
    transport,
    {path: '/1'},
    {
      isPaused: () => {
        throw new Error('cannot write');
      },
    },
  );
  const other = send(transport, {path: '/2'});
  t.is((await failing.received).error?.message, 'cannot write');
  t.is((await other.received).body, '/2');
  close();
  server.close();
});

/** Starts a server whose answers end with trailers that are not a list. */
async function startSpoiledServer() {
  const server = http.createServer((_, response) => response.end());
  const part = Buffer.from('part');
  server.on('upgrade', (_, socket: net.Socket) => {
    socket.write(
      'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n' +
        `Upgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`,
    );
    const read = createFrameReader(({kind, stream, payload}) => {
      if (kind !== FRAME.request) return;
      const [[, path]] = decodeHead<RequestHead>(payload);
      const trailers = path === '/spoiled' ? 5 : [];
      const end = [0, trailers as string[]] as const;
      socket.write(encodeHeadFrame(FRAME.head, stream, [200, []]));
      socket.write(encodeFrame(FRAME.data, stream, part));
      socket.write(encodeHeadFrame(FRAME.end, stream, end, part));
    });
    socket.on('data', read);
    socket.on('error', () => {});
  });
  return {server, address: await listen(server)};
}

test('an answer whose end cannot be passed on fails by itself, also after a pause', async t => {
  const {server, address} = await startSpoiledServer();
  const {transport, close} = await openChannel(address);
  let isPaused = true;
  const call = {path: '/spoiled'};
  const paused = send(transport, call, {isPaused: () => isPaused});
  while (paused.bytes() === 0) await pause(5);
  await pause(20);
  isPaused = false;
  // The receiver resumes in a listener of its own, which catches no error.
  t.notThrows(paused.resume);
  t.is((await paused.received).kind, 'error');
  const answers = [call, {path: '/'}].map(c => send(transport, c).received);
  const kinds = (await Promise.all(answers)).map(({kind}) => kind);
  t.deepEqual(kinds, ['error', 'complete']);
  close();
  server.closeAllConnections();
  server.close();
});

test('bytes that are no frames close the channel, with a report', async t => {
  const server = await startServer(echo);
  const {host, port} = server.address;
  const socket = net.connect(port, host);
  socket.write(
    `GET ${CHANNEL_PATH} HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\n` +
      `Upgrade: ${CHANNEL_PROTOCOL}\r\n\r\n`,
  );
  await once(socket, 'data');
  socket.write('GET / HTTP/1.1\r\n\r\n');
  socket.on('error', () => {});
  await once(socket, 'close');
  t.is(server.problems.length, 1);
  t.regex(server.problems[0], /frame length/);
  server.close();
});

test('an upgrade to another protocol is refused', async t => {
  const server = await startServer(echo);
  const {host, port} = server.address;
  const socket = net.connect(port, host);
  socket.write(
    'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n',
  );
  const [answer] = (await once(socket, 'data')) as [Buffer];
  t.regex(answer.toString(), /^HTTP\/1\.1 400 /);
  socket.destroy();
  server.close();
});

test('a refused upgrade whose connection is reset does not end the daemon', async t => {
  const server = await startServer(echo);
  const {port} = server.address;
  for (let i = 0; i < 100; i++) {
    const socket = net.connect(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write(
      'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
    );
    await once(socket, 'connect');
    if (i % 2 === 0) await once(socket, 'readable');
    socket.resetAndDestroy();
  }
  await pause(100);
  t.is((await fetch(`http://127.0.0.1:${port}/`)).status, 200);
  server.close();
});

test('a refused upgrade does not keep its connection open', async t => {
  const server = await startServer(echo);
  const socket = net.connect(server.address.port, '127.0.0.1');
  socket.write(
    'GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
  );
  socket.resume();
  await once(socket, 'end');
  await pause(50);
  const open = await new Promise<number>((resolve, reject) =>
    server.server.getConnections((error, count) =>
      error ? reject(error) : resolve(count),
    ),
  );
  t.is(open, 0);
  server.close();
});

test('each arrival of bytes shows that the daemon lives', async t => {
  const server = await startServer((request, response) => {
    if (request.url === '/open') return echo(request, response);
    response.writeHead(200, []);
    response.write(Buffer.from('begin'));
  });
  const {transport, receptions, close} = await openChannel(server.address);
  const before = receptions();
  const {bytes} = send(transport, {path: '/endless'});
  while (bytes() === 0) await pause(5);
  t.true(receptions() > before);
  close();
  server.close();
});
