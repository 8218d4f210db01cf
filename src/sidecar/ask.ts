import {request} from 'node:http';
import {parseAddress} from '../model/index.js';

/** Path at which a daemon tells its status. */
export const STATUS_PATH = '/vanillaspool/status';

/** Path, before a service's name, at which a daemon reads a map for another. */
export const MAP_PATH = '/vanillaspool/map/';

/**
 * Asks another daemon on a connection of its own, so that the answer tells
 * whether new connections work.
 *
 * @returns undefined when it does not answer in time.
 *
 * @example
 * const status = await askDaemon<Status>('10.1.0.8:7620', STATUS_PATH, 700);
 */
export function askDaemon<T>(
  node: string,
  path: string,
  timeoutMs: number,
): Promise<T | undefined> {
  const {host, port} = parseAddress(node);
  return new Promise(resolve => {
    const timer = setTimeout(() => end(undefined), timeoutMs);
    const call = request({host, port, path, agent: false}, response => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => end(undefined));
      response.on('end', () => {
        const isWhole = response.complete && response.statusCode === 200;
        end(isWhole ? parse<T>(Buffer.concat(parts)) : undefined);
      });
    });
    const end = (value: T | undefined) => {
      clearTimeout(timer);
      resolve(value);
      call.destroy();
    };
    call.on('error', () => end(undefined));
    call.end();
  });
}

function parse<T>(bytes: Buffer): T | undefined {
  try {
    return JSON.parse(bytes.toString()) as T;
  } catch {
    return undefined; // Counts as no answer, which the caller acts on.
  }
}
