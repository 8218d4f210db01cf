import http from 'node:http';
import test from 'ava';
import {MAX_BUFFERED_BYTES} from '../../src/relay/index.js';
import {configuration, startFleet, waitUntil} from './fixture.js';

/** Sends a body in parts, without its length, and returns the status. */
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

test('an instance never runs an upload of which another has had a part', async t => {
  const fleet = await startFleet(['desk', 'desk']);
  t.teardown(fleet.close);
  const [a, b] = fleet.pairs;
  const changed = configuration(2) as {limits: {max_body_bytes: number}};
  changed.limits.max_body_bytes = 4 * MAX_BUFFERED_BYTES;
  fleet.store.write('config', 'main', changed);
  await waitUntil(() => a.events.some(([, {version}]) => version === 2));
  // By then each daemon has heard of the other one.
  await new Promise(resolve => setTimeout(resolve, 600));
  a.instance.spoil = (response, id) => {
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
