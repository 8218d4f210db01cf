import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from '../src/model/index.js';

/** Host that every stand-in listens on. */
export const LOOPBACK = '127.0.0.1';

/**
 * Lets a server listen on the loopback and returns its address.
 *
 * @param port Port to listen on; 0 takes a free one.
 *
 * @example
 * const address = await listen(createServer(), 0);
 */
export async function listen(server: Server, port: number): Promise<Address> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, resolve);
  });
  return {host: LOOPBACK, port: (server.address() as AddressInfo).port};
}

/**
 * Prints the line that tells a parent process where a stand-in listens.
 *
 * @example
 * printListening({host: '127.0.0.1', port: 80});
 */
export function printListening(listening: Address): void {
  process.stdout.write(JSON.stringify({listening}) + '\n');
}
