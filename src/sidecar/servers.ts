import http, {type RequestListener, type Server} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {parseAddress} from '../model/index.js';
import {RELAY_EVENTS} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';

/** Largest head of a request that the parser accepts, in bytes. */
const HEADER_BYTES = 128 * 1024;

/** Time for which another daemon's idle connection is kept, in milliseconds. */
export const PEER_IDLE_MS = 60_000;

/** Interval between checks for slow heads, in milliseconds. */
const CHECK_INTERVAL_MS = 1000;

/** Connections that wait to be accepted. */
const BACKLOG = 1024;

/**
 * Creates an HTTP server whose handler answers every request.
 *
 * @param headerTimeoutMs Longest time that a head may take to arrive.
 *
 * @example
 * const server = createHandlerServer(handler, 3000, 15_000, log);
 */
export function createHandlerServer(
  handler: RequestListener,
  headerTimeoutMs: number,
  idleMs: number,
  log: Log,
): Server {
  const server = http.createServer(
    {
      maxHeaderSize: HEADER_BYTES,
      headersTimeout: headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      keepAliveTimeout: idleMs,
      requireHostHeader: false,
      noDelay: true,
    },
    handler,
  );
  server.on('checkContinue', handler);
  const acceptedAt = new WeakMap<Duplex, number>();
  server.on('connection', (socket: Duplex) => {
    acceptedAt.set(socket, performance.now());
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const {code, message} = error;
    const {remoteAddress, remotePort, localPort, bytesRead} = socket;
    log(RELAY_EVENTS.malformed, {
      code,
      message,
      caller: `${remoteAddress}:${remotePort}`,
      port: localPort,
      bytesRead,
      ageMs: Math.round(performance.now() - (acceptedAt.get(socket) ?? NaN)),
      headerTimeoutMs: server.headersTimeout,
    });
    const status =
      code === 'ERR_HTTP_REQUEST_TIMEOUT'
        ? '408 Request Timeout'
        : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
  });
  return server;
}

/**
 * Listens at an address.
 *
 * @throws {Error} with code `EADDRINUSE` when it is taken.
 *
 * @example
 * await listenAt(server, '10.1.0.8:8304');
 */
export async function listenAt(server: Server, address: string): Promise<void> {
  const {host, port} = parseAddress(address);
  server.listen({host, port, backlog: BACKLOG});
  await once(server, 'listening');
}
