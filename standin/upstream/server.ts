import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import {sendJson} from './answer.js';
import {execute} from './execute.js';
import {applyGrant, type Grant} from './fence.js';
import {
  readClock,
  recordHealth,
  setFaults,
  getReportedHealth,
  getReportedLoad,
  type Upstream,
  type UpstreamFaults,
} from './upstream.js';

/**
 * Connections for grants, health and load in addition to those for requests.
 */
const CONTROL_CONNECTIONS = 4;

/** Time after which an idle connection is closed. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

type Handler = (
  upstream: Upstream,
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

const CONTROL_CALLS: ReadonlyMap<string, Handler> = new Map<string, Handler>([
  ['POST /grants', handleGrant],
  ['POST /drain', handleDrain],
  ['POST /faults', handleFaults],
  ['GET /health', handleHealth],
  [
    'GET /load',
    (upstream, _, r) => sendJson(r, 200, getReportedLoad(upstream)),
  ],
  ['GET /executions', handleExecutions],
]);

/**
 * Creates the HTTP server of an upstream, not yet listening.
 *
 * @param upstream Returns the upstream's state; called for each request.
 *
 * @example
 * createUpstreamServer(() => upstream).listen(0, '127.0.0.1');
 */
export function createUpstreamServer(
  upstream: () => Upstream,
  connections: number,
): Server {
  const options = {keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS, requestTimeout: 0};
  const server = createServer(options, (request, response) => {
    const call = `${request.method} ${request.url}`;
    const handler = CONTROL_CALLS.get(call) ?? execute;
    Promise.resolve(handler(upstream(), request, response)).catch(() =>
      request.socket.destroy(),
    );
  });
  server.maxConnections = connections + CONTROL_CONNECTIONS;
  return server;
}

async function handleGrant(
  upstream: Upstream,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const grant = (await readJson(request)) as Grant;
  const decision = applyGrant(upstream.fence, grant);
  upstream.fence = decision.fence;
  const status = decision.accepted ? 200 : 409;
  sendJson(response, status, {clock: readClock(upstream)});
}

function handleDrain(
  upstream: Upstream,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  request.resume();
  upstream.draining = true;
  recordHealth(upstream);
  sendJson(response, 200, {draining: true});
}

async function handleFaults(
  upstream: Upstream,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  setFaults(upstream, (await readJson(request)) as UpstreamFaults);
  recordHealth(upstream);
  sendJson(response, 200, upstream.faults);
}

function handleHealth(
  upstream: Upstream,
  _: IncomingMessage,
  response: ServerResponse,
): void {
  recordHealth(upstream);
  const healthy = getReportedHealth(upstream);
  sendJson(response, healthy ? 200 : 503, {healthy});
}

function handleExecutions(
  {name, options, journal}: Upstream,
  _: IncomingMessage,
  response: ServerResponse,
): void {
  const {service} = options;
  const executions = journal.executions();
  sendJson(response, 200, {upstream: name, service, executions});
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return JSON.parse(Buffer.concat(parts).toString());
}
