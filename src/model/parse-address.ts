import {isIP} from 'node:net';
import type {Address} from './address.js';

/** Largest TCP or UDP port. */
const MAX_PORT = 65535;

/**
 * Parses `host:port`, where the host is an IP address and an IPv6 host is
 * enclosed in brackets. Port 0 is accepted.
 *
 * @throws {RangeError} when the text does not have this form.
 *
 * @example
 * parseAddress('127.0.0.1:80'); // {host: '127.0.0.1', port: 80}
 */
export function parseAddress(text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? NaN);
  if (isIP(host) === 0 || !(port <= MAX_PORT)) {
    throw new RangeError(`not an IP address and port: ${text}`);
  }
  return {host, port};
}
