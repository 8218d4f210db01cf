import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Address} from '../src/model/index.js';

/** Loopback address on which every stand-in listens. */
export const LOOPBACK = '127.0.0.1';

/**
 * Starts a server on the loopback address and returns its address.
 *
 * @param port Port to listen on; 0 selects a free one.
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
 * Prints the address of a stand-in as a JSON line, for the parent process.
 *
 * @example
 * printListening({host: '127.0.0.1', port: 80});
 */
export function printListening(listening: Address): void {
  process.stdout.write(JSON.stringify({listening}) + '\n');
}
