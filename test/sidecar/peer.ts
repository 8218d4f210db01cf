import net from 'node:net';
import {Worker} from 'node:worker_threads';
import {once} from 'node:events';
import type {MetadataStoreStandin} from '../../standin/fleet/index.js';

/** How a stand-in of a daemon responds. */
export interface PeerBehaviour {
  /** Delay of responses to probes, in milliseconds. */
  readonly probeDelayMs?: number;
  /** Delay of responses to requests, in milliseconds. */
  readonly requestDelayMs?: number;
  /** Headers of its responses to requests. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Accepts connections and never responds. */
  readonly isUnresponsive?: boolean;
  /** Accepts no connections: its accept queue is full. */
  readonly isUnreachable?: boolean;
  /** Port that it listens on; a free one if missing. */
  readonly port?: number;
}

/** A stand-in of a daemon, with its own event loop. */
export interface Peer {
  readonly node: string;
  readonly id: string;
  /** Closes its port and all its connections. */
  readonly close: () => Promise<void>;
}

/**
 * Source of the worker: an HTTP server with the parts of a daemon that clients
 * need.
 */
const WORKER_SOURCE = `
const http = require('node:http');
const {parentPort, workerData} = require('node:worker_threads');
const {id, behaviour} = workerData;
const status = JSON.stringify({id, born: 7, silent: false, capacity: 80, heat: []});
const server = http.createServer((request, response) => {
  if (behaviour.isUnresponsive) return;
  const isProbe = request.url === '/vanillaspool/status';
  const waitMs = (isProbe ? behaviour.probeDelayMs : behaviour.requestDelayMs) ?? 0;
  request.resume();
  response.setHeader('vanillaspool-load', '1,4,20');
  for (const [name, value] of Object.entries(behaviour.headers ?? {})) {
    response.setHeader(name, value);
  }
  setTimeout(() => response.end(isProbe ? status : 'answer'), waitMs);
});
server.listen({port: behaviour.port ?? 0, host: '127.0.0.1', backlog: behaviour.isUnreachable ? 1 : 511}, () => {
  parentPort.postMessage(server.address().port);
  if (behaviour.isUnreachable) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});
`;

/** Connections that fill an accept queue with a backlog of one. */
const QUEUED_CONNECTIONS = 4;

/**
 * Starts a stand-in of a daemon and registers it as a member of a service.
 *
 * @example
 * const peer = await startPeer(fleet.store, 'desk', {requestDelayMs: 900});
 */
export async function startPeer(
  store: MetadataStoreStandin,
  service: string,
  behaviour: PeerBehaviour,
): Promise<Peer> {
  const id = `i-${service}-peer`;
  const worker = new Worker(WORKER_SOURCE, {
    eval: true,
    workerData: {id, behaviour},
  });
  const [port] = (await once(worker, 'message')) as [number];
  const queued = Array.from(
    {length: behaviour.isUnreachable ? QUEUED_CONNECTIONS : 0},
    () => {
      const socket = net.connect(port, '127.0.0.1');
      socket.on('error', () => {}); // They only fill the queue.
      return socket;
    },
  );
  const node = `127.0.0.1:${port}`;
  const domain = 'zone-0';
  const life = {node, domain, service, id, born: 7, slots: 4, state: 'ready'};
  store.write('fleet', `member.${node}`, life);
  return {
    node,
    id,
    close: async () => {
      for (const socket of queued) socket.destroy();
      await worker.terminate();
    },
  };
}

/** Beginning of a response whose rest never arrives. */
const PARTIAL_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{';

/**
 * Starts a stand-in of a live daemon that cuts each connection: at once, after
 * it has received a request, or in the middle of the response.
 *
 * @example
 * const peer = await startResettingPeer('answering');
 */
export async function startResettingPeer(
  cut: 'closed' | 'taken' | 'answering',
): Promise<Pick<Peer, 'node' | 'close'>> {
  const server = net.createServer(socket => {
    socket.on('error', () => {}); // The other side is cut as well.
    if (cut === 'closed') socket.destroy();
    socket.once('data', () => {
      if (cut === 'taken') socket.resetAndDestroy();
      else socket.write(PARTIAL_ANSWER, () => socket.resetAndDestroy());
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const close = async () => {
    server.close();
  };
  return {node: `127.0.0.1:${port}`, close};
}
