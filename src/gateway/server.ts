import http, {type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {
  type Limits,
  isBehindLastRequest,
  malformedReason,
  notRun,
} from '../model/index.js';
import type {Log} from '../telemetry/index.js';
import {GATEWAY_EVENTS} from './events.js';
import type {Gateway, Handler} from './gateway.js';

/** Idle time after which a connection is closed. */
const KEEP_ALIVE_MS = 30_000;

/** Upper bound on the interval of the header timeout checks. */
const HEADER_CHECK_INTERVAL_MS = 1000;

/** Time for which a draining server still accepts connections. */
const CLOSE_GRACE_MS = 1000;

/**
 * Creates the HTTP server for callers. A malformed request is answered with the
 * reason; a connection whose headers exceed the header timeout is closed.
 *
 * @example
 * createCallersServer(gateway, configuration.limits, log).listen(8080);
 */
export function createCallersServer(
  gateway: Gateway,
  limits: Limits,
  log: Log,
): Server {
  /**
   * Connections on which a malformed request was refused; later requests on
   * them are not run.
   */
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
    if (isBehindLastRequest(error) || refusedSockets.has(socket)) return;
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

/** Allowance for the headers that a daemon adds to a forwarded request. */
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
 * Answers a request that the HTTP parser refused. Closes the connection without
 * an answer if an earlier answer on it is in progress or was the last one.
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
  const message = `malformed request: ${malformedReason(code)}`;
  const body = JSON.stringify({outcome, reason, message}) + '\n';
  socket.end(
    `HTTP/1.1 ${status}\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n` +
      `vanillaspool-outcome: ${outcome}\r\n\r\n${body}`,
  );
}

/**
 * Closes servers gracefully. During a grace period connections are still
 * accepted and each answer closes its connection; afterwards no connection is
 * accepted and idle ones are closed. Resolves when no request is in flight.
 *
 * @param forceClose Closes all open connections at once when it resolves.
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
 * Returns whether a request to the peer server is a forwarded request, not a
 * call of the peer protocol.
 *
 * @example
 * if (isForwarded(request)) gateway.peers(request, response);
 */
export function isForwarded(request: IncomingMessage): boolean {
  return !request.url?.startsWith('/vanillaspool.');
}
