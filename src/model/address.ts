/** A TCP or UDP endpoint, given by IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Formats an address as `host:port`, with brackets around an IPv6 host.
 *
 * @example
 * formatAddress({host: '127.0.0.1', port: 80}); // '127.0.0.1:80'
 */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/**
 * Returns whether two addresses name the same endpoint.
 *
 * @example
 * sameAddress({host: '::1', port: 1}, {host: '::1', port: 2}); // false
 */
export function sameAddress(a: Address, b: Address): boolean {
  return a.host === b.host && a.port === b.port;
}
