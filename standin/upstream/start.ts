import type {Server} from 'node:http';
import {formatAddress, type Address} from '../../src/model/index.js';
import {listen} from '../listen.js';
import {announce} from './announce.js';
import type {UpstreamOptions} from './options.js';
import {createUpstreamServer} from './server.js';
import {createUpstream, type Upstream} from './upstream.js';

/** A running upstream stand-in. */
export interface RunningUpstream {
  readonly address: Address;
  readonly upstream: Upstream;
  readonly server: Server;
  readonly stop: () => void;
}

/**
 * Starts an upstream stand-in in this process.
 *
 * @example
 * const running = await startUpstream(readOptions({service: 'rota-display'}));
 * running.stop();
 */
export async function startUpstream(
  options: UpstreamOptions,
): Promise<RunningUpstream> {
  const state: {upstream?: Upstream} = {};
  const server = createUpstreamServer(
    () => state.upstream!,
    options.connections,
  );
  const address = await listen(server, options.port);
  const upstream = createUpstream(formatAddress(address), options);
  state.upstream = upstream;
  const stopAnnouncing = announce(address, options);
  const stop = () => {
    stopAnnouncing();
    server.close();
    server.closeAllConnections();
  };
  return {address, upstream, server, stop};
}
