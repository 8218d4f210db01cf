import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {LOOPBACK} from '../standin/listen.js';

/**
 * Ports that are searched. They lie below those that systems give to outgoing
 * connections, which would take a port between the search and its use.
 */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_767;

/**
 * Finds ports of the loopback address that are free for TCP and UDP, from a
 * random one on, so that runs at the same time rarely choose the same.
 *
 * @example
 * const [callers, peers, control] = await findPorts(3);
 */
export async function findPorts(count: number): Promise<readonly number[]> {
  const searched = LAST_PORT - FIRST_PORT + 1;
  const start = Math.floor(Math.random() * searched);
  const ports: number[] = [];
  for (let step = 0; step < searched && ports.length < count; step++) {
    const port = FIRST_PORT + ((start + step) % searched);
    if ((await isFreeForTcp(port)) && (await isFreeForUdp(port))) {
      ports.push(port);
    }
  }
  if (ports.length < count) {
    throw new Error(`only ${ports.length} of ${count} ports are free`);
  }
  return ports;
}

async function isFreeForTcp(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, LOOPBACK);
    await once(server, 'listening');
  } catch {
    return false;
  }
  server.close();
  await once(server, 'close');
  return true;
}

async function isFreeForUdp(port: number): Promise<boolean> {
  const socket = createSocket('udp4');
  try {
    socket.bind(port, LOOPBACK);
    await once(socket, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    socket.close();
  }
}
