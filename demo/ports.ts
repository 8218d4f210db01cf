import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {LOOPBACK} from '../standin/listen.js';

/**
 * Finds ports of the loopback address that are free for TCP and UDP. Keeps each
 * port bound until the last one is found, so that none is returned twice.
 *
 * @example
 * const [callers, peers, control] = await findPorts(3);
 */
export async function findPorts(count: number): Promise<readonly number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const server = createServer().listen(0, LOOPBACK);
    servers.push(server);
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    if (await isFreeForUdp(port)) ports.push(port);
  }
  await Promise.all(servers.map(close));
  return ports;
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

async function close(server: Server): Promise<void> {
  server.close();
  await once(server, 'close');
}
