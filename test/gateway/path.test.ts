import test from 'ava';
import {
  configuration,
  rawRequest,
  sendRaw,
  service,
  startFleet,
  startServer,
} from './fixture.js';

test('every daemon returns the answer of the owner', async t => {
  const seen: (string | string[] | undefined)[] = [];
  const upstreams = [0, 1].map(n =>
    startServer((request, response) => {
      seen.push(request.headers['vanillaspool-epoch']);
      response.end(`upstream ${n}`);
    }),
  );
  const servers = await Promise.all(upstreams);
  const fleet = await startFleet({
    configuration: configuration([service()]),
    upstreams: servers.map(server => server.address),
  });
  for (const daemon of fleet.daemons) {
    const {text} = await sendRaw(daemon.address, rawRequest('GET /rota/a'));
    t.regex(text, /^HTTP\/1.1 200 OK\r\n[^]*\r\n\r\n/);
    t.true(text.includes('upstream 0'));
    t.true(text.includes('vanillaspool-owner: 10.0.0.1:9000'));
  }
  t.deepEqual(seen, ['1', '1']);
  await fleet.stop();
  await Promise.all(servers.map(server => server.stop()));
});
