import http, {
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {parseAddress} from '../model/index.js';
import {RELAY_EVENTS} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';

/** Largest head of a request that the parser accepts, in bytes. */
const MAX_HEADER_BYTES = 128 * 1024;

/** Time for which another daemon's idle connection is kept, in milliseconds. */
export const PEER_IDLE_TIMEOUT_MS = 60_000;

/** Interval between checks for slow heads, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1000;

/** Connections that wait to be accepted, of those that are kept open for long. */
const DEFAULT_BACKLOG = 1024;

/** Connections of other daemons that wait to be accepted. */
export const PEER_BACKLOG = 128;

/**
 * Connections of callers that wait to be accepted. A process with cold code takes
 * some 4 ms for each, and callers wait for a second at most: of a longer queue it
 * would only ever read what was given up.
 */
export const CALLER_BACKLOG = 32;

/**
 * Time for which a connection stays open after an answer of the server's own, so
 * that the answer is not lost to a reset, in milliseconds; several round trips
 * of the slowest links.
 */
const LINGER_MS = 1000;

/** What the server keeps about one connection. */
interface Connection {
  readonly acceptedAt: number;
  /** The response that is open on it. */
  response?: ServerResponse;
  /** It has had an answer of the server's own, after which nothing is run. */
  isRejected?: true;
}

/**
 * Creates an HTTP server whose handler answers every request. Time-outs and
 * what can't be parsed are answered by the server itself; nothing that arrives
 * on such a connection afterwards is handled.
 *
 * @param headerTimeoutMs Longest time that a head may take to arrive, counted
 *     from its first byte; a connection without one may stay idle.
 *
 * @example
 * const server = createHandlerServer(handler, 3000, 15_000, log);
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
      const message = 'a request after the last answer is not run';
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
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
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
 * Tells whether an answer of the server's own would be taken for a part of an
 * open response, or for the answer to a request that arrived whole.
 */
function isResponseUnderWay(response: ServerResponse | undefined): boolean {
  if (!response || response.writableFinished) return false;
  return response.headersSent || response.req.complete;
}

/** Closes a connection on which nothing arrives for some time. */
function closeIfUnused(socket: Socket, leftMs: number): void {
  const timer = setTimeout(() => {
    if (socket.bytesRead === 0) socket.destroy();
  }, leftMs);
  socket.once('close', () => clearTimeout(timer));
}

/**
 * Listens at an address.
 *
 * @param backlog Connections that wait to be accepted, at most.
 *
 * @throws {Error} with code `EADDRINUSE` when it is taken.
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
