import http from 'node:http';
import test from 'ava';
import {MAX_BUFFERED_BYTES} from '../../src/relay/index.js';
import {configuration, startFleet, waitUntil} from './fixture.js';

/** Uploads a body in chunks, without its length, and returns the status. */
function upload(callers: string, body: Buffer): Promise<number> {
  const [host, port] = callers.split(':');
  const headers = {
    Host: 'a.example',
    'X-Vanillaspool-Request-Id': 'upload',
    'X-Vanillaspool-Request-Deadline': '2000',
    'Transfer-Encoding': 'chunked',
  };
  return new Promise((resolve, reject) => {
    const request = http.request(
      {host, port, method: 'POST', path: '/book/x', headers, agent: false},
      response => {
        response.resume();
        resolve(response.statusCode ?? 0);
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

test('an upload of which one instance received a part is not run by another', async t => {
  const fleet = await startFleet(['desk', 'desk']);
  t.teardown(fleet.close);
  const [a, b] = fleet.pairs;
  const changed = configuration(2) as {limits: {max_body_bytes: number}};
  changed.limits.max_body_bytes = 4 * MAX_BUFFERED_BYTES;
  fleet.store.write('config', 'main', changed);
  await waitUntil(() => a.events.some(([, {version}]) => version === 2));
  // Time within which the daemons discover each other.
  await new Promise(resolve => setTimeout(resolve, 600));
  a.instance.replaceAnswer = (response, id) => {
    response.setHeader('X-Vanillaspool-Request-Id', id);
    response.setHeader('X-Vanillaspool-Not-Executed', '1');
    response.writeHead(503).end();
    return true;
  };
  const body = Buffer.alloc(2 * MAX_BUFFERED_BYTES);
  const status = await upload(a.callers, body);
  const bytes = b.instance.runs.map(run => run.bodyBytes);
  t.true(bytes.every(length => length === body.length));
  t.is(status, 503);
});
