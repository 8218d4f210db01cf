import {once} from 'node:events';
import {createServer} from 'node:net';
import test from 'ava';
import {findPorts} from '../../demo/ports.js';
import {LOOPBACK} from '../../standin/listen.js';

/** First port that Linux gives to outgoing connections. */
const FIRST_EPHEMERAL_PORT = 32_768;

test.serial(
  'ports are apart and are not among those given to outgoing connections',
  async t => {
    const ports = await findPorts(57);
    t.is(new Set(ports).size, 57);
    t.true(ports.every(port => port > 1024 && port < FIRST_EPHEMERAL_PORT));
  },
);

test.serial('ports that were found can be listened on', async t => {
  const servers = (await findPorts(3)).map(port =>
    createServer().listen(port, LOOPBACK),
  );
  await Promise.all(servers.map(server => once(server, 'listening')));
  servers.forEach(server => server.close());
  t.pass();
});
