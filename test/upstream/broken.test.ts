import net, {type AddressInfo, type Socket} from 'node:net';
import http from 'node:http';
import {once} from 'node:events';
import test from 'ava';
import {
  createPools,
  exchange,
  type ExchangeResult,
} from '../../src/upstream/index.js';

/** Starts a server that writes an answer and then ends the connection somehow. */
async function startBreaking(answer: string, end: (socket: Socket) => void) {
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.write(answer, () => end(socket)));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {server, port: (server.address() as AddressInfo).port};
}

/** Passes one answer on to a caller and returns how it ended. */
async function pass(port: number): Promise<ExchangeResult> {
  const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 1000});
  const pool = pools.to({host: '127.0.0.1', port}, 1);
  let settle: (result: ExchangeResult) => void;
  const ended = new Promise<ExchangeResult>(resolve => (settle = resolve));
  const front = http.createServer((_, response) => {
    const call = {method: 'GET', path: '/', headers: ['Host', 'a'], body: null};
    exchange(pool, call, response, {
      ready: () => true,
      accept: head => head.headers,
      ended: result => {
        if (result.kind !== 'answered') response.destroy();
        settle(result);
      },
    });
  });
  front.listen(0, '127.0.0.1');
  await once(front, 'listening');
  const request = http.get(
    {port: (front.address() as AddressInfo).port, host: '127.0.0.1'},
    response => response.on('error', () => {}).resume(),
  );
  request.on('error', () => {});
  const result = await ended;
  front.closeAllConnections();
  front.close();
  return result;
}

const HEAD = 'HTTP/1.1 200 OK\r\n';

test('an answer without a length that is reset is broken', async t => {
  const {server, port} = await startBreaking(`${HEAD}\r\npart`, socket => {
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  t.is((await pass(port)).kind, 'broken');
  server.close();
});

test('an answer without a length ends with its connection', async t => {
  const {server, port} = await startBreaking(`${HEAD}\r\nwhole`, socket => {
    socket.end();
  });
  t.is((await pass(port)).kind, 'answered');
  server.close();
});

test('an answer in chunks without its last one is broken', async t => {
  const chunked = `${HEAD}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const {server, port} = await startBreaking(
    `${chunked}4\r\npart\r\n`,
    socket => socket.end(),
  );
  t.is((await pass(port)).kind, 'broken');
  server.close();
});
