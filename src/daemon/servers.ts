import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
  createCallersServer,
  createPeersServer,
  isForwarded,
} from '../gateway/index.js';
import type {Gateway} from '../gateway/index.js';
import type {Address, Limits} from '../model/index.js';
import {DEFAULT_LIMITS} from '../settings/index.js';
import type {Settings} from '../settings/index.js';
import type {Log} from '../telemetry/index.js';
import {createControlServer} from './control.js';
import type {ControlOptions} from './control.js';

/** The HTTP servers of a daemon. */
export interface Servers {
  readonly callers: Server;
  readonly peers: Server;
  readonly control: Server;
}

/** What the servers of a daemon answer with. */
export interface ServerOptions {
  readonly gateway: Gateway;
  /** Handles the calls between daemons. */
  readonly handleRpc: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
  readonly control: ControlOptions;
  readonly log: Log;
}

/**
 * Creates the servers of a daemon, not listening yet.
 *
 * @example
 * const servers = createServers(options);
 * await listen(servers, settings);
 */
export function createServers(options: ServerOptions): Servers {
  const {gateway, handleRpc: handleRpc, control, log} = options;
  return {
    callers: createCallersServer(gateway, DEFAULT_LIMITS, log),
    peers: createPeersServer(DEFAULT_LIMITS, (request, response) => {
      if (isForwarded(request)) gateway.peers(request, response);
      else handleRpc(request, response);
    }),
    control: createControlServer(control),
  };
}

/**
 * Makes the servers listen at the addresses of the settings.
 *
 * @throws {Error} with code `EADDRINUSE` when an address is taken.
 *
 * @example
 * await listen(servers, settings);
 */
export async function listen(
  servers: Servers,
  settings: Pick<Settings, 'callers' | 'peers' | 'control'>,
): Promise<void> {
  await listenAt(servers.callers, settings.callers);
  await listenAt(servers.peers, settings.peers);
  await listenAt(servers.control, settings.control);
}

/**
 * Applies the limits of a configuration to connections that come from now on.
 *
 * @example
 * applyLimits(servers, configuration.limits);
 */
export function applyLimits(servers: Servers, limits: Limits): void {
  servers.callers.maxConnections = limits.connections;
  servers.callers.headersTimeout = limits.headerTimeoutMs;
}

/**
 * Closes the servers and every connection.
 *
 * @example
 * closeNow(servers);
 */
export function closeAll(servers: Servers): void {
  const {callers, peers, control} = servers;
  for (const server of [callers, peers, control]) {
    server.closeAllConnections();
    server.close();
  }
}

async function listenAt(server: Server, address: Address): Promise<void> {
  server.listen(address.port, address.host);
  await once(server, 'listening');
}
