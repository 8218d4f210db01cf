import net from 'node:net';
import {Worker} from 'node:worker_threads';
import {once} from 'node:events';
import type {MetadataStoreStandin} from '../../standin/fleet/index.js';

/** How a peer treats those that connect to it. */
export interface PeerBehaviour {
  /** Time before a question is answered, in milliseconds. */
  readonly probeDelayMs?: number;
  /** Time before a request is answered, in milliseconds. */
  readonly requestDelayMs?: number;
  /** Headers of its answers to requests. */
  readonly headers?: Readonly<Record<string, string>>;
  /** Answers nothing, on any connection. */
  readonly isUnresponsive?: boolean;
  /** Takes no connection: its queue of new ones is full. */
  readonly isUnreachable?: boolean;
}

/** What stands in for a daemon, with an event loop of its own. */
export interface Peer {
  readonly node: string;
  readonly id: string;
  /** Closes its port and all connections. */
  readonly close: () => Promise<void>;
}

/** Runs in the worker; talks HTTP just well enough for a daemon's client. */
const WORKER_SOURCE = `
const http = require('node:http');
const {parentPort, workerData} = require('node:worker_threads');
const {id, manner} = workerData;
const status = JSON.stringify({id, born: 7, silent: false, capacity: 80, heat: []});
const server = http.createServer((request, response) => {
  if (manner.isMute) return;
  const isQuestion = request.url === '/vanillaspool/status';
  const waitMs = (isQuestion ? manner.questionMs : manner.requestMs) ?? 0;
  request.resume();
  response.setHeader('vanillaspool-load', '1,4,20');
  for (const [name, value] of Object.entries(manner.headers ?? {})) {
    response.setHeader(name, value);
  }
  setTimeout(() => response.end(isQuestion ? status : 'answer'), waitMs);
});
server.listen({port: 0, host: '127.0.0.1', backlog: manner.isDark ? 1 : 511}, () => {
  parentPort.postMessage(server.address().port);
  if (manner.isDark) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});
`;

/** Connections that fill the queue of a socket with a backlog of one. */
const QUEUED_CONNECTIONS = 4;

/**
 * Starts a stand-in of a daemon and registers it as a member of a service.
 *
 * @example
 * const peer = await startPeer(fleet.store, 'desk', {requestMs: 900});
 */
export async function startPeer(
  store: MetadataStoreStandin,
  service: string,
  manner: PeerBehaviour,
): Promise<Peer> {
  const id = `i-${service}-peer`;
  const worker = new Worker(WORKER_SOURCE, {
    eval: true,
    workerData: {id, manner},
  });
  const [port] = (await once(worker, 'message')) as [number];
  const queued = Array.from(
    {length: manner.isUnreachable ? QUEUED_CONNECTIONS : 0},
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

/** Part of an answer after which the rest does not come. */
const PARTIAL_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{';

/**
 * Starts what stands in for a daemon that lives and cuts each connection: at
 * once, after it was taken and asked, or in the middle of the answer.
 *
 * @example
 * const peer = await startCutter('answering');
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
