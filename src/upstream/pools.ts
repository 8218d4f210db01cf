import {Pool, type Dispatcher} from 'undici';
import {createConnector} from '../connector/index.js';
import {formatAddress, type Address} from '../model/index.js';

/** Options of the connections to one address. */
export interface ConnectionOptions {
  readonly limit: number;
  readonly connectTimeoutMs: number;
  /** Idle timeout; must be shorter than the idle timeout of the server. */
  readonly keepAliveMs: number;
  /** Called with the address of each connection that was accepted. */
  readonly onConnect?: (address: Address) => void;
}

/** The connection pools of a daemon, one per address. */
export interface Pools {
  /** Returns the pool for an address. A different limit replaces the pool. */
  readonly get: (address: Address, limit: number) => Dispatcher;
  /** Returns a connection for one request, on which nothing was sent before. */
  readonly open: (address: Address) => Connection;
  /** Closes each pool once its requests have ended. */
  readonly close: () => Promise<void>;
}

/** A connection that is in no pool. */
export interface Connection extends Pick<Dispatcher, 'dispatch'> {
  /** Closes it, with its request if that has not ended. */
  readonly destroy: () => Promise<void>;
}

interface Entry {
  readonly limit: number;
  readonly pool: Pool;
}

/**
 * Creates an empty set of connection pools.
 *
 * @throws {RangeError} if a time is not positive.
 *
 * @example
 * const pools = createPools({connectTimeoutMs: 500, keepAliveMs: 4000});
 * pools.get({host: '127.0.0.1', port: 8080}, 130);
 */
export function createPools(options: Omit<ConnectionOptions, 'limit'>): Pools {
  const {connectTimeoutMs, keepAliveMs} = options;
  if (!(connectTimeoutMs > 0 && keepAliveMs > 0)) {
    throw new RangeError('connectTimeoutMs and keepAliveMs must be positive');
  }
  const entries = new Map<string, Entry>();
  return {
    get: (address, limit) => {
      const name = formatAddress(address);
      const entry = entries.get(name);
      if (entry?.limit === limit) return entry.pool;
      void entry?.pool.close();
      const pool = createPool(name, {limit, ...options});
      pool.on('connect', () => options.onConnect?.(address));
      entries.set(name, {limit, pool});
      return pool;
    },
    open: address => createPool(formatAddress(address), {limit: 1, ...options}),
    close: async () => {
      const open = [...entries.values()];
      entries.clear();
      await Promise.all(open.map(entry => entry.pool.close()));
    },
  };
}

function createPool(name: string, options: ConnectionOptions): Pool {
  return new Pool(`http://${name}`, {
    connections: options.limit,
    pipelining: 1,
    connect: createConnector(options.connectTimeoutMs),
    keepAliveTimeout: options.keepAliveMs,
    keepAliveMaxTimeout: options.keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}
