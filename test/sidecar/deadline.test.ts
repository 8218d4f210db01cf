import http from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {notRun} from '../../src/model/index.js';
import {HOP_HEADER, failureHeaders, parseHop} from '../../src/relay/index.js';
import {sendRequest, startFleet, type TestFleet} from './fixture.js';

/** Registers a daemon of `desk` that refuses each request late. */
async function startLateDaemon(
  fleet: TestFleet,
  afterDeadlineMs: number,
): Promise<http.Server> {
  const server = http.createServer((request, response) => {
    const hop = parseHop(request.headers[HOP_HEADER]);
    if (!hop) return void response.end('{"id":"i-late","born":1,"heat":[]}');
    request.resume();
    setTimeout(() => {
      const failure = notRun('deadline', 'the deadline has passed');
      const headers = failureHeaders(failure, false);
      response.writeHead(failure.status, [...headers, 'Content-Length', '0']);
      response.end();
    }, hop.leftMs + afterDeadlineMs);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const node = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const member = {
    node,
    domain: 'zone-0',
    service: 'desk',
    id: 'i-late',
    born: 1,
    slots: 4,
    state: 'ready',
    stopping: false,
  };
  fleet.store.write('fleet', `member.${node}`, member);
  return server;
}

test('a request that the other daemon did not run by its deadline is told as not run', async t => {
  const fleet = await startFleet(['stock']);
  const [{callers}] = fleet.pairs;
  const daemon = await startLateDaemon(fleet, 80);
  t.teardown(async () => {
    daemon.closeAllConnections();
    daemon.close();
    await fleet.close();
  });
  let answer = await sendRequest(callers, 'POST', '/book/x');
  while (answer.body.includes('no-owner')) {
    answer = await sendRequest(callers, 'POST', '/book/x');
  }
  t.is(answer.status, 503);
  t.true(answer.body.includes('"outcome":"not-run"'));
});
