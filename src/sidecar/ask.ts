import {request} from 'node:http';
import {parseAddress} from '../model/index.js';

/** Path of the questions between daemons; no caller's request is sent there. */
export const STATUS_PATH = '/vanillaspool/status';

/**
 * Asks another daemon for its status on a connection of its own, so that the
 * answer tells whether new connections work.
 *
 * @returns undefined when it does not answer in time.
 *
 * @example
 * const status = await askStatus<Status>('10.1.0.8:7620', 700);
 */
export function askStatus<T>(
  node: string,
  timeoutMs: number,
): Promise<T | undefined> {
  const {host, port} = parseAddress(node);
  return new Promise(resolve => {
    const timer = setTimeout(() => end(undefined), timeoutMs);
    const call = request(
      {host, port, path: STATUS_PATH, agent: false},
      response => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('error', () => end(undefined));
        response.on('end', () => {
          const isWhole = response.complete && response.statusCode === 200;
          end(isWhole ? parse<T>(Buffer.concat(parts)) : undefined);
        });
      },
    );
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
