import http, {type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {writeUntilClosed} from '../../standin/fleet/index.js';
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
 * Largest part of a response that is sent before its caller reads it: the
 * socket buffers of three connections, and the buffers of two daemons.
 */
const MAX_BUFFERED_BYTES = 48 * MIB;

/**
 * Starts a fleet whose requests to `desk` are downloads, with responses written
 * by the test.
 */
async function startDownloads(write: (response: ServerResponse) => void) {
  const fleet = await startFleet(['stock', 'desk']);
  const changed = configuration(2) as {routes: {rows: unknown[][]}};
  changed.routes.rows[1][3] = 'download';
  changed.routes.rows[1][4] = 20;
  fleet.store.write('config', 'main', changed);
  const isApplied = ({events}: Pair) =>
    events.some(([, fields]) => fields.version === 2);
  await waitUntil(() => fleet.pairs.every(isApplied));
  const [entry, owner] = fleet.pairs;
  owner.instance.replaceAnswer = (response, id) => {
    response.setHeader('X-Vanillaspool-Request-Id', id);
    response.setHeader('X-Vanillaspool-Response-Signature', 'signed');
    write(response);
    return true;
  };
  return {fleet, entry, owner};
}

/** Sends a download request whose response is read by the test. */
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

/** Returns whether the same daemons serve other requests. */
const isServed = async ({pairs: [entry]}: TestFleet) =>
  (await sendRequest(entry.callers, 'GET', '/view/x', 5)).status === 200;

test('an endless response is read no faster than its caller reads it', async t => {
  let written = 0;
  const {fleet, entry} = await startDownloads(response => {
    writeUntilClosed(response, undefined, length => (written += length));
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

test('a download that its caller aborts ends at the instance within half a second', async t => {
  let closedAt = 0;
  const {fleet, entry, owner} = await startDownloads(response => {
    response.once('close', () => (closedAt = Date.now()));
    writeUntilClosed(response);
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
    // Node.js reports the error to the request if the response has no length.
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

/** Writes raw bytes to the socket until the other side closes it. */
function writeRawWithoutEnd({socket}: ServerResponse, part: string): void {
  if (socket) writeUntilClosed(socket, part);
}

test('an endless response head fails its own request and no other', async t => {
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

test('endless bytes in place of a response end with a failure', async t => {
  const {fleet, entry} = await startDownloads(response => {
    writeRawWithoutEnd(response, 'noise'.repeat(10_000));
  });
  t.teardown(fleet.close);
  const response = await responseOf(download(entry));
  t.is(response.statusCode, 502);
  t.true(await isServed(fleet));
});

test('requests with long responses are served in the failure domain of the entry daemon', async t => {
  const fleet = await startFleet(['desk', 'desk', 'desk', 'desk']);
  t.teardown(fleet.close);
  for (const {instance} of fleet.pairs) {
    instance.replaceAnswer = (response, id) => {
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
  // The instances with even numbers are in the failure domain of the first.
  t.true(runs[1] + runs[3] <= 2, runs.join());
});
