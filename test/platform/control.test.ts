import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {
  createConnectionNumbers,
  createControlHandler,
} from '../../platform/control.js';
import {writeUntilClosed} from '../../standin/fleet/index.js';
import type {InstanceManager, Sidecar} from '../../src/sidecar/index.js';

/**
 * Starts a control server with a sidecar that only answers readiness checks and
 * what the manager is given for.
 */
async function startControl(manager: Partial<InstanceManager> = {}) {
  const sidecar = {
    isReady: () => true,
    instanceManager: manager as InstanceManager,
  } as Sidecar;
  const connections = createConnectionNumbers();
  const server = http.createServer(
    createControlHandler(sidecar, () => {}, connections),
  );
  server.on('connection', connections.add);
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

const AGENT_OPTIONS = {keepAlive: true, maxSockets: 1};

/** Sends a heartbeat; resolves when its response has been read. */
async function sendHeartbeat(
  port: number,
  agent: http.Agent,
  sequence: number,
  born = 1,
): Promise<void> {
  const body = JSON.stringify({
    ...{service: 'desk', address: '10.1.0.8:8301', zone: 'north'},
    ...{version: 'v1', slots: 4, state: 'ready', cold_left_s: 0},
    ...{seq: sequence, born},
  });
  await call(port, {agent, method: 'PUT', path: '/-/instances/i-1'}, body);
}

/** Sends a departure without a body; resolves when its response has been read. */
function sendDeparture(
  port: number,
  agent: http.Agent,
  id = 'i-1',
): Promise<void> {
  return call(port, {agent, method: 'DELETE', path: `/-/instances/${id}`});
}

async function call(
  port: number,
  options: http.RequestOptions,
  body?: string,
): Promise<void> {
  const request = http.request({...options, host: '127.0.0.1', port});
  request.end(body);
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  response.resume();
  await once(response, 'end');
}

test('a heartbeat on the connection of an earlier one of the same life shows that its response was read', async t => {
  const received: (readonly [number, number | undefined])[] = [];
  const {port, close} = await startControl({
    handleHeartbeat: ({sequence, readSequence}) => {
      received.push([sequence, readSequence]);
      return Promise.resolve({holdMs: 5000});
    },
  });
  t.teardown(close);
  const [first, second] = [AGENT_OPTIONS, AGENT_OPTIONS].map(
    options => new http.Agent(options),
  );
  await sendHeartbeat(port, first, 1);
  await sendHeartbeat(port, second, 2);
  await sendHeartbeat(port, first, 3);
  await sendHeartbeat(port, first, 1, 2);
  first.destroy();
  second.destroy();
  t.deepEqual(received, [
    [1, undefined],
    [2, undefined],
    [3, 1],
    [1, undefined],
  ]);
});

for (const {body, status, born} of [
  {body: undefined, status: 200, born: undefined},
  {body: '{}', status: 200, born: undefined},
  {body: '{"born":1764892800000}', status: 200, born: 1_764_892_800_000},
  {body: '{"born":"1764892800000"}', status: 400},
  {body: '{"born":', status: 400},
]) {
  test(`a departure with the body ${body} gets ${status}`, async t => {
    const departures: unknown[] = [];
    const {port, close} = await startControl({
      handleDeparture: (departing, life) => {
        departures.push({id: departing, born: life});
        return Promise.resolve(true);
      },
    });
    t.teardown(close);
    const url = `http://127.0.0.1:${port}/-/instances/i-1`;
    const answer = await fetch(url, {method: 'DELETE', body});
    t.is(answer.status, status);
    t.deepEqual(departures, status === 200 ? [{id: 'i-1', born}] : []);
  });
}

test('a departure that names no life is of the one whose heartbeats came on its connection', async t => {
  const departures: unknown[] = [];
  const {port, close} = await startControl({
    handleHeartbeat: () => Promise.resolve({holdMs: 5000}),
    handleDeparture: (id, born) => {
      departures.push([id, born]);
      return Promise.resolve(true);
    },
  });
  t.teardown(close);
  const [earlier, later, other] = [1, 2, 3].map(
    () => new http.Agent(AGENT_OPTIONS),
  );
  await sendHeartbeat(port, earlier, 1, 1);
  await sendHeartbeat(port, later, 1, 2);
  await sendDeparture(port, earlier);
  await sendDeparture(port, later);
  await sendDeparture(port, later, 'i-2');
  await sendDeparture(port, other);
  for (const agent of [earlier, later, other]) agent.destroy();
  t.deepEqual(departures, [
    ['i-1', 1],
    ['i-1', 2],
    ['i-2', undefined],
    ['i-1', undefined],
  ]);
});

test('connections are numbered as they were opened, not as their requests arrive', async t => {
  const received: unknown[] = [];
  const {port, close} = await startControl({
    handleHeartbeat: ({born, connection}) => {
      received.push([born, connection]);
      return Promise.resolve({holdMs: 5000});
    },
    handleDeparture: (_, born, connection) => {
      received.push([born, connection]);
      return Promise.resolve(true);
    },
  });
  t.teardown(close);
  const late = net.connect(port, '127.0.0.1');
  await once(late, 'connect');
  const agent = new http.Agent(AGENT_OPTIONS);
  await sendHeartbeat(port, agent, 1, 2);
  agent.destroy();
  late.write('DELETE /-/instances/i-1 HTTP/1.1\r\nHost: a\r\n\r\n');
  await once(late, 'data');
  late.destroy();
  t.deepEqual(received, [
    [2, 2],
    [undefined, 1],
  ]);
});
