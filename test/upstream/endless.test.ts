import http, {type IncomingMessage} from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {Pool} from 'undici';
import {
  exchange,
  type ResponseHead,
  type ExchangeResult,
} from '../../src/upstream/index.js';

const MIB = 1024 * 1024;

/** Writes a head and then, without end, what a function returns. */
function writeEndlessly(head: string, next: () => string, pauseMs = 0) {
  return async (socket: Socket) => {
    socket.on('error', () => {});
    socket.write(head);
    while (!socket.destroyed) {
      const isTaken = socket.write(next());
      if (pauseMs > 0) await sleep(pauseMs);
      else if (!isTaken) {
        await new Promise<void>(resolve => {
          socket.once('drain', resolve);
          socket.once('close', () => resolve());
        });
      }
    }
  };
}

/** What an exchange through a daemon's server came to. */
interface ProxiedExchange {
  readonly result: Promise<ExchangeResult>;
  /** The server's connection is closed. */
  readonly closed: Promise<unknown>;
  readonly bytesWritten: () => number;
  readonly hintsReceived: () => number;
  readonly close: () => void;
}

/** Passes the answer of a server on to a caller, who reads nothing of it. */
async function proxyResponse(
  write: (socket: Socket) => Promise<void>,
  onHead: (head: ResponseHead) => string[] | undefined,
): Promise<ProxiedExchange> {
  const sockets: Socket[] = [];
  const server = net.createServer(socket => {
    sockets.push(socket);
    socket.once('data', () => void write(socket).catch(() => {}));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pool = new Pool(`http://127.0.0.1:${port}`, {
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let hintCount = 0;
  const closers: (() => void)[] = [() => server.close()];
  const result = new Promise<ExchangeResult>(resolve => {
    const proxy = http.createServer((_, response) => {
      const call = {method: 'GET', path: '/', headers: [], body: null};
      exchange(pool, call, response, {
        beforeSend: () => true,
        onHead: onHead,
        onEnd: resolve,
      });
    });
    proxy.listen(0, '127.0.0.1', () => {
      const address = proxy.address() as AddressInfo;
      const request = http.get({port: address.port, agent: false});
      request.on('information', () => (hintCount += 1));
      request.on('response', (response: IncomingMessage) => response.pause());
      request.on('error', () => {});
      closers.push(() => request.destroy());
    });
    closers.push(() => proxy.close());
  });
  const closed = (async () => {
    while (sockets.length === 0) await sleep(5);
    const [socket] = sockets;
    if (!socket.destroyed) {
      await new Promise(resolve => socket.once('close', resolve));
    }
  })();
  return {
    result,
    closed,
    bytesWritten: () => sockets[0]?.bytesWritten ?? 0,
    hintsReceived: () => hintCount,
    close: () => {
      closers.forEach(call => call());
      sockets.forEach(socket => socket.destroy());
      void pool.destroy();
    },
  };
}

const REFUSED =
  'HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n';
const chunk = (length: number) =>
  `${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`;

test('a refusal whose body does not end closes its connection', async t => {
  const passed = await proxyResponse(
    writeEndlessly(REFUSED, () => chunk(16_000)),
    () => undefined,
  );
  t.teardown(passed.close);
  t.is((await passed.result).kind, 'held');
  await passed.closed;
  t.true(passed.bytesWritten() < 16 * MIB);
});

test('a refusal whose body trickles closes its connection within seconds', async t => {
  const passed = await proxyResponse(
    writeEndlessly(REFUSED, () => chunk(1), 50),
    () => undefined,
  );
  t.teardown(passed.close);
  const startedAt = Date.now();
  t.is((await passed.result).kind, 'held');
  await passed.closed;
  t.true(Date.now() - startedAt < 3000);
});

test('a head without end is a failure after a bounded length', async t => {
  const passed = await proxyResponse(
    writeEndlessly(
      'HTTP/1.1 200 OK\r\n',
      () => `X-Noise: ${'x'.repeat(1000)}\r\n`,
    ),
    head => head.headers,
  );
  t.teardown(passed.close);
  const result = await passed.result;
  t.true(result.kind === 'failed' && result.sent);
  await passed.closed;
  t.true(passed.bytesWritten() < 16 * MIB);
});

test('early hints without end are not all passed on', async t => {
  const hint = 'HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\n';
  const passed = await proxyResponse(
    writeEndlessly('', () => hint, 2),
    head => head.headers,
  );
  t.teardown(passed.close);
  await sleep(500);
  t.true(passed.hintsReceived() <= 8);
  t.true(passed.bytesWritten() > hint.length * 20);
});
