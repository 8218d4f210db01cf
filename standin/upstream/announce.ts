import {formatAddress, type Address} from '../../src/model/index.js';
import type {UpstreamOptions} from './options.js';

/** Interval of announcements. */
const ANNOUNCE_INTERVAL_MS = 1000;

/**
 * Announces an upstream to its local daemon, immediately and every second.
 *
 * @returns A function that stops the announcements.
 *
 * @example
 * const stop = announce({host: '127.0.0.1', port: 80}, options);
 */
export function announce(
  address: Address,
  options: UpstreamOptions,
): () => void {
  if (!options.announce) return () => {};
  const url = `http://${formatAddress(options.announce)}/announce`;
  const {service, slots, connections} = options;
  const body = JSON.stringify({service, address, slots, connections});
  const headers = {'content-type': 'application/json'};
  const send = () => {
    const signal = AbortSignal.timeout(ANNOUNCE_INTERVAL_MS);
    fetch(url, {method: 'POST', headers, body, signal})
      .then(answer => answer.arrayBuffer())
      .catch(() => {});
  };
  send();
  const timer = setInterval(send, ANNOUNCE_INTERVAL_MS);
  return () => clearInterval(timer);
}
