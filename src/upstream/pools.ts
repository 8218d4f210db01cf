import type {Socket} from 'node:net';
import {Client, Pool, type Dispatcher} from 'undici';
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
  /**
   * Opens a connection that is not replaced once it has closed.
   *
   * @throws if it can't be opened in time.
   */
  readonly connect: (address: Address) => Promise<OpenConnection>;
  /** Closes each pool once its requests have ended. */
  readonly close: () => Promise<void>;
}

/** A connection that is in no pool. */
export interface Connection extends Pick<Dispatcher, 'dispatch'> {
  /** Closes it, with its request if that has not ended. */
  readonly destroy: () => Promise<void>;
}

/** An open connection, whose other end is one process until it is closed. */
export interface OpenConnection extends Connection {
  readonly isClosed: () => boolean;
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
  const connections = new Set<Connection>();
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
    connect: async address => {
      const connection = await connectOnce(address, options, () =>
        connections.delete(connection),
      );
      connections.add(connection);
      return connection;
    },
    close: async () => {
      const open = [...entries.values()].map(({pool}) => pool.close());
      entries.clear();
      const closed = [...connections].map(({destroy}) => destroy());
      await Promise.all([...open, ...closed]);
    },
  };
}

/** @param onClose Called when the connection has closed. */
async function connectOnce(
  address: Address,
  options: Omit<ConnectionOptions, 'limit'>,
  onClose: () => void,
): Promise<OpenConnection> {
  const {connectTimeoutMs, keepAliveMs} = options;
  const socket = await openSocket(address, connectTimeoutMs);
  let isClosed = false;
  let isTaken = false;
  const client = new Client(`http://${formatAddress(address)}`, {
    pipelining: 1,
    // Undici does not resume when it is called back at once.
    connect: (_, callback) =>
      process.nextTick(() => {
        if (isTaken || isClosed)
          return callback(new Error('the connection has closed'), null);
        isTaken = true;
        callback(null, socket);
      }),
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  socket.once('close', () => {
    isClosed = true;
    onClose();
  });
  return {
    dispatch: client.dispatch.bind(client),
    destroy: async () => {
      socket.destroy();
      await client.destroy();
    },
    isClosed: () => isClosed,
  };
}

function openSocket(
  {host, port}: Address,
  connectTimeoutMs: number,
): Promise<Socket> {
  const connect = createConnector(connectTimeoutMs);
  const options = {hostname: host, port: String(port), protocol: 'http:'};
  return new Promise((resolve, reject) => {
    connect(options, (error, socket) =>
      error === null ? resolve(socket) : reject(error),
    );
  });
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
