/**
 * Tests of the time that requests are on their way, one after the other: they
 * block the event loop of their process.
 */
import diagnostics from 'node:diagnostics_channel';
import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import net from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HOP_HEADER} from '../../src/relay/index.js';
import {sendRequest, startFleet} from './fixture.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Time within which the daemons of a test see a registration. */
const PROPAGATION_MS = 300;

/** Blocks the event loop of this process. */
function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Calls back at the first forwarded request that reaches a step. */
function atForwarded(
  t: ExecutionContext,
  step: 'request.start' | 'response.finish',
  call: () => void,
): void {
  const channel = `http.server.${step}`;
  let isDone = false;
  const notice = (message: unknown) => {
    const {request} = message as {request: IncomingMessage};
    if (isDone || !request.headers[HOP_HEADER]) return;
    isDone = true;
    call();
  };
  diagnostics.subscribe(channel, notice);
  t.teardown(() => diagnostics.unsubscribe(channel, notice));
}

/** Timeout of a request, in milliseconds. */
const TIMEOUT_MS = 600;

/** By how much the sender of a request reads its answer late, in milliseconds. */
const LATE_MS = 1000;

test.serial(
  'a request is served after an answer that was read late',
  async t => {
    const fleet = await startFleet(['desk', 'stock']);
    t.teardown(fleet.close);
    await pause(PROPAGATION_MS);
    const {callers} = fleet.pairs[1];
    const send = (timeoutMs: number) =>
      sendRequest(callers, 'POST', '/book/x', undefined, undefined, timeoutMs);
    atForwarded(t, 'response.finish', () => blockEventLoop(LATE_MS));
    await send(2000);
    await pause(LATE_MS);
    t.is((await send(0.7 * LATE_MS)).status, 200);
  },
);

test.serial(
  'a run is not cut short after an answer that was read late',
  async t => {
    const fleet = await startFleet(['desk', 'stock'], {workMs: 600});
    t.teardown(fleet.close);
    await pause(PROPAGATION_MS);
    const {callers} = fleet.pairs[1];
    atForwarded(t, 'response.finish', () => blockEventLoop(LATE_MS));
    await sendRequest(callers, 'POST', '/book/x');
    await pause(LATE_MS);
    t.is((await sendRequest(callers, 'POST', '/book/x')).status, 200);
  },
);

test.serial(
  'a request whose deadline passes before its connection opens is not run',
  async t => {
    const fleet = await startFleet(['desk', 'stock']);
    t.teardown(fleet.close);
    await pause(PROPAGATION_MS);
    const [{instance}, {callers}] = fleet.pairs;
    const server = net.createServer(socket =>
      socket.once('data', () => blockEventLoop(2 * TIMEOUT_MS)),
    );
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    t.teardown(() => server.close());
    const {port} = server.address() as net.AddressInfo;
    const signal = net.connect(port, '127.0.0.1');
    await once(signal, 'connect');
    t.teardown(() => signal.destroy());
    await pause(100);
    // Read in the turn in which the connection to the instance opens, before it.
    atForwarded(t, 'request.start', () => signal.write('x'));
    const {status} = await sendRequest(
      callers,
      'POST',
      '/book/x',
      undefined,
      undefined,
      TIMEOUT_MS,
    );
    await pause(PROPAGATION_MS);
    t.not(status, 200);
    t.deepEqual(instance.runs, []);
  },
);
