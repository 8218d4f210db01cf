import http, {type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {type Limits, notRun} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import {GATEWAY_EVENTS} from './events.js';
import type {Gateway, Handler} from './gateway.js';

/** Time for which an idle connection is kept, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

/** Longest interval between checks for slow headers, in milliseconds. */
const HEADER_CHECK_INTERVAL_MS = 1000;

/** Time for which connections are served while a server closes. */
const CLOSE_GRACE_MS = 1000;

/**
 * Creates the HTTP server for callers. Malformed requests get an answer that
 * says why; callers that are too slow with their headers are cut off.
 *
 * @example
 * createCallersServer(gateway, configuration.limits, log).listen(8080);
 */
export function createCallersServer(
  gateway: Gateway,
  limits: Limits,
  log: Log,
): Server {
  /** Connections that had an answer of the server's own; nothing is run after it. */
  const refusedSockets = new WeakSet<Socket>();
  const handle: Handler = (request, response) => {
    if (refusedSockets.has(request.socket)) {
      const caller = request.socket.remoteAddress;
      log(GATEWAY_EVENTS.malformed, {code: 'ERR_AFTER_ANSWER', caller});
      return;
    }
    gateway.callers(request, response);
  };
  const server = createServer(limits, limits.headerBytes, handle);
  server.maxConnections = limits.connections;
  server.on('checkContinue', handle);
  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    refusedSockets.add(socket);
    refuseMalformed(gateway, log, error, socket);
  });
  return server;
}

/**
 * Creates an HTTP server for other daemons.
 *
 * @param handler Handles both forwarded requests and the peer protocol.
 *
 * @example
 * createPeersServer(limits, dispatch).listen(8081);
 */
export function createPeersServer(limits: Limits, handler: Handler): Server {
  const headerBytes = limits.headerBytes + HOP_HEADERS_LIMIT_BYTES;
  const server = createServer(limits, headerBytes, handler);
  server.on('checkContinue', handler);
  return server;
}

/** Room for the headers that a daemon adds to a forwarded request, in bytes. */
const HOP_HEADERS_LIMIT_BYTES = 4096;

function createServer(
  limits: Limits,
  headerBytes: number,
  handler: Handler,
): Server {
  const {headerTimeoutMs} = limits;
  const options = {
    maxHeaderSize: headerBytes,
    headersTimeout: headerTimeoutMs,
    requestTimeout: 0,
    connectionsCheckingInterval: Math.min(
      HEADER_CHECK_INTERVAL_MS,
      headerTimeoutMs,
    ),
    keepAliveTimeout: KEEP_ALIVE_MS,
    requireHostHeader: false,
    insecureHTTPParser: false,
    noDelay: true,
  };
  return http.createServer(options, handler);
}

const MALFORMED_STATUS: ReadonlyMap<string, string> = new Map([
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
]);

/**
 * Answers a request that the parser refused, unless an earlier request of the
 * connection is still being answered or was its last.
 */
function refuseMalformed(
  gateway: Gateway,
  log: Log,
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  const code = error.code ?? '';
  const {remoteAddress} = socket;
  log(GATEWAY_EVENTS.malformed, {code, caller: remoteAddress});
  if (!socket.writable || !gateway.isReady(socket)) {
    socket.destroy();
    return;
  }
  const status = MALFORMED_STATUS.get(code) ?? '400 Bad Request';
  const {outcome, reason} = notRun('bad-request', '');
  const message = `malformed request: ${error.message}`;
  const body = JSON.stringify({outcome, reason, message}) + '\n';
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n` +
      `vanillaspool-outcome: ${outcome}\r\n\r\n${body}`,
  );
}

/**
 * Closes servers without cutting a request off: for a grace time connections are
 * still accepted and each answer closes its connection; then no connection is
 * accepted and idle ones are closed; it resolves when every answer is out.
 *
 * @param forceClose Closes at once what is still open when it resolves.
 *
 * @example
 * await closeServers(gateway, [callers, peers], secondSignal);
 */
export async function closeServers(
  gateway: Gateway,
  servers: readonly Server[],
  forceClose: Promise<void>,
): Promise<void> {
  gateway.drain();
  let timer: NodeJS.Timeout | undefined;
  const grace = new Promise<void>(resolve => {
    timer = setTimeout(resolve, CLOSE_GRACE_MS);
  });
  await Promise.race([grace, forceClose]);
  clearTimeout(timer);
  void forceClose.then(() => servers.forEach(s => s.closeAllConnections()));
  await Promise.all(servers.map(untilClosed));
  await gateway.close();
}

function untilClosed(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}

/**
 * Tells whether a request of the peers' server belongs to the request path.
 *
 * @example
 * if (isForwarded(request)) gateway.peers(request, response);
 */
export function isForwarded(request: IncomingMessage): boolean {
  return !request.url?.startsWith('/vanillaspool.');
}
