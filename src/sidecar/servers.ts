import http, {
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {isBehindLastRequest, parseAddress} from '../model/index.js';
import {RELAY_EVENTS} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** Largest request head that the parser accepts. */
const MAX_HEADER_BYTES = 128 * 1024;

/**
 * Time for which an idle connection of another daemon is kept open, in
 * milliseconds.
 */
export const PEER_IDLE_TIMEOUT_MS = 60_000;

/** Interval between checks for request heads that time out, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1000;

/** Accept backlog of servers whose connections are long-lived. */
const DEFAULT_BACKLOG = 1024;

/** Accept backlog for connections of other daemons. */
export const PEER_BACKLOG = 128;

/**
 * Accept backlog for connections of callers. A process with cold code takes
 * some 4 ms to accept each one, and callers wait for a second at most: with a
 * longer backlog it would accept mostly connections that were already
 * abandoned.
 */
export const CALLER_BACKLOG = 32;

/**
 * Time for which a connection stays open after a response that the server
 * generated itself, so that a reset does not discard the response, in
 * milliseconds; covers several round-trip times of the slowest links.
 */
const LINGER_MS = 1000;

/** State of one connection. */
interface Connection {
  readonly acceptedAt: number;
  /** The latest response on the connection. */
  response?: ServerResponse;
  /**
   * The server has rejected the connection itself; later requests on it are not
   * run.
   */
  isRejected?: true;
}

/**
 * Creates an HTTP server. The server itself answers time-outs and malformed
 * requests; requests that arrive later on such a connection are not passed to
 * the handler.
 *
 * @param headerTimeoutMs Time limit for a request head, counted from its first
 *     byte; a connection without any bytes may stay idle.
 *
 * @example
 * const server = createHttpServer(handler, 3000, 15_000, log);
 */
export function createHttpServer(
  handler: RequestListener,
  headerTimeoutMs: number,
  idleMs: number,
  log: Log,
): Server {
  const connections = new WeakMap<Duplex, Connection>();
  const handle: RequestListener = (request, response) => {
    const connection = connections.get(request.socket);
    if (connection?.isRejected) {
      const message =
        'request received on a connection that was already rejected; not run';
      logMalformed(request.socket, 'ERR_AFTER_ANSWER', message);
      return;
    }
    if (connection) connection.response = response;
    handler(request, response);
  };
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
      keepAliveTimeout: idleMs,
      requireHostHeader: false,
      noDelay: true,
    },
    handle,
  );
  server.on('checkContinue', handle);
  const ageMs = (socket: Socket) =>
    performance.now() - (connections.get(socket)?.acceptedAt ?? NaN);
  const logMalformed = (
    socket: Socket,
    code: string | undefined,
    message: string,
  ) => {
    const {remoteAddress, remotePort, localPort, bytesRead} = socket;
    log(RELAY_EVENTS.malformed, {
      code,
      message,
      caller: `${remoteAddress}:${remotePort}`,
      port: localPort,
      bytesRead,
      ageMs: Math.round(ageMs(socket)),
      headerTimeoutMs: server.headersTimeout,
    });
  };
  server.on('connection', (socket: Duplex) => {
    connections.set(socket, {acceptedAt: performance.now()});
  });
  server.on('error', ({message}) => {
    // Whoever began to listen is told of errors before that succeeded.
    if (server.listening) log(SIDECAR_EVENTS.taskFailed, {message});
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (isBehindLastRequest(error)) return;
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const {code, message} = error;
    const isTimeout = code === 'ERR_HTTP_REQUEST_TIMEOUT';
    if (isTimeout && socket.bytesRead === 0) {
      const leftMs = Math.max(0, server.keepAliveTimeout - ageMs(socket));
      closeIfUnused(socket, leftMs);
      return;
    }
    logMalformed(socket, code, message);
    const connection = connections.get(socket);
    if (connection) connection.isRejected = true;
    if (isResponseUnderWay(connection?.response)) {
      socket.resetAndDestroy();
      return;
    }
    const status = isTimeout ? '408 Request Timeout' : '400 Bad Request';
    socket.end(
      `HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`,
    );
    const linger = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once('close', () => clearTimeout(linger));
  });
  return server;
}

/**
 * Returns whether a response generated by the server itself would be mistaken
 * for part of an open response, or for the response to a request that arrived
 * completely.
 */
function isResponseUnderWay(response: ServerResponse | undefined): boolean {
  if (!response || response.writableFinished) return false;
  return response.headersSent || response.req.complete;
}

/** Closes a connection if it has received no bytes by the end of a time. */
function closeIfUnused(socket: Socket, leftMs: number): void {
  const timer = setTimeout(() => {
    if (socket.bytesRead === 0) socket.destroy();
  }, leftMs);
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Listens on an address.
 *
 * @param backlog Largest number of connections waiting to be accepted.
 *
 * @throws {Error} with code `EADDRINUSE` when the address is in use.
 *
 * @example
 * await listenAt(server, '10.1.0.8:8304');
 */
export async function listenAt(
  server: Server,
  address: string,
  backlog = DEFAULT_BACKLOG,
): Promise<void> {
  const {host, port} = parseAddress(address);
  server.listen({host, port, backlog});
  await once(server, 'listening');
}
