import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {createControlHandler} from '../../platform/control.js';
import {writeUntilClosed} from '../../standin/fleet/index.js';
import type {Sidecar} from '../../src/sidecar/index.js';

/**
 * Starts a control server with a sidecar that answers readiness checks and
 * acknowledges departures.
 */
async function startControl() {
  const departures: unknown[] = [];
  const handleDeparture = (id: string, born?: number) => {
    departures.push({id, born});
    return Promise.resolve(true);
  };
  const instanceManager = {handleDeparture} as Sidecar['instanceManager'];
  const sidecar = {isReady: () => true, instanceManager} as Sidecar;
  const server = http.createServer(createControlHandler(sidecar, () => {}));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return {port, close, departures};
}

/** Writes until the peer closes the connection; returns the bytes written. */
async function writeUntilCut(socket: Socket, part: string): Promise<number> {
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.resume();
  writeUntilClosed(socket, part);
  await closed;
  return socket.bytesWritten;
}

const MIB = 1024 * 1024;

for (const [place, head, part] of [
  [
    'body',
    'PUT /-/instances/i-1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n',
    `1000\r\n${'x'.repeat(4096)}\r\n`,
  ],
  [
    'head',
    'PUT /-/instances/i-1 HTTP/1.1\r\nHost: a\r\n',
    `X-Noise: ${'x'.repeat(1000)}\r\n`,
  ],
] as const) {
  test(`a heartbeat with an endless ${place} is cut off and other requests are served`, async t => {
    const {port, close} = await startControl();
    t.teardown(close);
    const socket = net.connect(port, '127.0.0.1');
    socket.write(head);
    t.true((await writeUntilCut(socket, part)) < 32 * MIB);
    const ready = await fetch(`http://127.0.0.1:${port}/-/readyz`);
    t.is(ready.status, 200);
  });
}

for (const {body, status, born} of [
  {body: undefined, status: 200, born: undefined},
  {body: '{}', status: 200, born: undefined},
  {body: '{"born":1764892800000}', status: 200, born: 1_764_892_800_000},
  {body: '{"born":"1764892800000"}', status: 400},
  {body: '{"born":', status: 400},
]) {
  test(`a departure with the body ${body} gets ${status}`, async t => {
    const {port, close, departures} = await startControl();
    t.teardown(close);
    const url = `http://127.0.0.1:${port}/-/instances/i-1`;
    const answer = await fetch(url, {method: 'DELETE', body});
    t.is(answer.status, status);
    t.deepEqual(departures, status === 200 ? [{id: 'i-1', born}] : []);
  });
}
