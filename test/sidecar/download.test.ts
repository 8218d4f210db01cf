import http, {type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {writeWithoutEnd} from '../../standin/fleet/index.js';
import {
  sendRequest,
  configuration,
  startFleet,
  waitUntil,
  type Pair,
  type TestFleet,
} from './fixture.js';

const MIB = 1024 * 1024;

/**
 * Bytes that an answer may be ahead of its reader: the buffers of the sockets of
 * three connections, and what two daemons hold.
 */
const MAX_BUFFERED_BYTES = 48 * MIB;

/** A fleet whose requests to `desk` are downloads, and who writes their answers. */
async function startDownloads(write: (response: ServerResponse) => void) {
  const fleet = await startFleet(['stock', 'desk']);
  const whole = configuration(2) as {routes: {rows: unknown[][]}};
  whole.routes.rows[1][3] = 'download';
  whole.routes.rows[1][4] = 20;
  fleet.store.write('config', 'main', whole);
  const taken = ({events}: Pair) =>
    events.some(([, fields]) => fields.version === 2);
  await waitUntil(() => fleet.pairs.every(taken));
  const [entry, owner] = fleet.pairs;
  owner.instance.spoil = (response, id) => {
    response.setHeader('X-Vanillaspool-Request-Id', id);
    response.setHeader('X-Vanillaspool-Response-Signature', 'signed');
    write(response);
    return true;
  };
  return {fleet, entry, owner};
}

/** Sends a download whose answer is read by the test. */
function download({callers}: Pair): http.ClientRequest {
  const [host, port] = callers.split(':');
  const headers = {
    Host: 'a.example',
    'X-Vanillaspool-Request-Id': 'download-1',
    'X-Vanillaspool-Request-Deadline': '20000',
  };
  const path = '/book/x';
  const request = http.request({host, port, path, headers, agent: false});
  request.on('error', () => {});
  request.end();
  return request;
}

async function responseOf(
  request: http.ClientRequest,
): Promise<http.IncomingMessage> {
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  return response;
}

/** Other requests of the same daemons are served. */
const isServed = async ({pairs: [entry]}: TestFleet) =>
  (await sendRequest(entry.callers, 'GET', '/view/x', 5)).status === 200;

test('an answer without end is read no faster than its caller reads it', async t => {
  let written = 0;
  const {fleet, entry} = await startDownloads(response => {
    writeWithoutEnd(response, undefined, length => (written += length));
  });
  t.teardown(fleet.close);
  const request = download(entry);
  const response = await responseOf(request);
  response.pause();
  await sleep(1000);
  const ahead = written;
  await sleep(500);
  t.is(written, ahead);
  t.true(ahead < MAX_BUFFERED_BYTES, `${ahead} bytes`);
  t.true(await isServed(fleet));
  request.destroy();
});

test('a caller who leaves a download ends it at the instance within half a second', async t => {
  let closedAt = 0;
  const {fleet, entry, owner} = await startDownloads(response => {
    response.once('close', () => (closedAt = Date.now()));
    writeWithoutEnd(response);
  });
  t.teardown(fleet.close);
  const request = download(entry);
  (await responseOf(request)).resume();
  await sleep(200);
  const leftAt = Date.now();
  request.destroy();
  await waitUntil(() => closedAt > 0);
  t.true(closedAt - leftAt < 500);
  t.is(owner.instance.runs.length, 1);
});

for (const [form, head] of [
  ['a length', {'Content-Length': String(4 * MIB)}],
  ['chunks', {}],
  ['no length', {Connection: 'close', 'Transfer-Encoding': 'identity'}],
] as const) {
  test(`a download with ${form} that breaks off is not complete`, async t => {
    const {fleet, entry, owner} = await startDownloads(response => {
      response.writeHead(200, head);
      response.write(Buffer.alloc(MIB));
      setTimeout(() => response.socket?.resetAndDestroy(), 100);
    });
    t.teardown(fleet.close);
    const request = download(entry);
    // Node.js tells the request where the answer has no length.
    const failed = new Promise(resolve => request.once('error', resolve));
    const response = await responseOf(request);
    response.resume();
    response.on('error', () => {});
    const closed = new Promise(resolve => response.once('close', resolve));
    await Promise.race([failed, closed]);
    t.false(response.complete);
    t.is(owner.instance.runs.length, 1);
  });
}

/** Writes past all framing until the other side closes. */
function writeRawWithoutEnd({socket}: ServerResponse, part: string): void {
  if (socket) writeWithoutEnd(socket, part);
}

test('a head without end costs its own request and nothing else', async t => {
  const {fleet, entry, owner} = await startDownloads(response => {
    response.socket?.write('HTTP/1.1 200 OK\r\n');
    writeRawWithoutEnd(response, `X-Noise: ${'x'.repeat(8000)}\r\n`);
  });
  t.teardown(fleet.close);
  const response = await responseOf(download(entry));
  t.is(response.statusCode, 502);
  t.true(owner.instance.runs.length <= 2);
  t.true(await isServed(fleet));
});

test('bytes without end in place of an answer end with a failure', async t => {
  const {fleet, entry} = await startDownloads(response => {
    writeRawWithoutEnd(response, 'noise'.repeat(10_000));
  });
  t.teardown(fleet.close);
  const response = await responseOf(download(entry));
  t.is(response.statusCode, 502);
  t.true(await isServed(fleet));
});

test('a long answer goes where it travels least', async t => {
  const fleet = await startFleet(['desk', 'desk', 'desk', 'desk']);
  t.teardown(fleet.close);
  for (const {instance} of fleet.pairs) {
    instance.spoil = (response, id) => {
      response.setHeader('X-Vanillaspool-Request-Id', id);
      response.setHeader('X-Vanillaspool-Response-Signature', 'signed');
      response.end(Buffer.alloc(200_000));
      return true;
    };
  }
  const [entry] = fleet.pairs;
  for (let turn = 0; turn < 20; turn++) {
    await sendRequest(entry.callers, 'POST', '/book/x');
  }
  const runs = fleet.pairs.map(({instance}) => instance.runs.length);
  // The even ones are in the failure domain of the first.
  t.true(runs[1] + runs[3] <= 2, runs.join());
});
