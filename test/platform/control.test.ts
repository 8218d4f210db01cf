import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {createControlHandler} from '../../platform/control.js';
import {writeUntilClosed} from '../../standin/fleet/index.js';
import type {Sidecar} from '../../src/sidecar/index.js';

/**
 * Starts a control server with a sidecar that only answers readiness checks.
 */
async function startControl() {
  const sidecar = {isReady: () => true} as Sidecar;
  const server = http.createServer(createControlHandler(sidecar, () => {}));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return {port, close};
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
