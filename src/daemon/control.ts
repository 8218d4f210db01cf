import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Address, Explanation, Status} from '../model/index.js';
import type {Upstream} from '../upstream/index.js';

/** Operations served at the control address to operators and the upstream. */
export interface ControlOptions {
  readonly status: () => Status;
  readonly explain: (service: string, key: string) => Explanation | undefined;
  readonly metrics: () => Promise<{
    readonly text: string;
    readonly contentType: string;
  }>;
  readonly announce: (upstream: Upstream) => void;
  readonly drain: () => void;
}

/** Maximum size of the body of a control request. */
const BODY_LIMIT_BYTES = 16_384;

/**
 * Creates the HTTP server for the control address. Requests that cannot be
 * handled are answered with status 400 and the error message.
 *
 * @example
 * createControlServer(options).listen(9090, '127.0.0.1');
 */
export function createControlServer(options: ControlOptions): Server {
  return createServer((request, response) => {
    handle(options, request, response).catch(error => {
      sendJson(response, 400, {message: String(error)});
      if (!request.complete)
        response.once('finish', () => request.socket.destroy());
    });
  });
}

async function handle(
  options: ControlOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://control');
  const route = `${request.method} ${url.pathname}`;
  switch (route) {
    case 'GET /status':
      return sendJson(response, 200, options.status());
    case 'GET /explain':
      return explain(options, url, response);
    case 'GET /metrics':
      return metrics(options, response);
    case 'POST /announce':
      options.announce(parseUpstream(await readBody(request)));
      return sendJson(response, 200, {});
    case 'POST /drain':
      options.drain();
      return sendJson(response, 202, {});
    default:
      return sendJson(response, 404, {message: `unknown endpoint: ${route}`});
  }
}

function explain(
  options: ControlOptions,
  url: URL,
  response: ServerResponse,
): void {
  const service = url.searchParams.get('service') ?? '';
  const key = url.searchParams.get('key') ?? '';
  const explanation = options.explain(service, key);
  const message = `unknown service, or service without a key: ${service}`;
  if (explanation) sendJson(response, 200, explanation);
  else sendJson(response, 404, {message});
}

async function metrics(
  options: ControlOptions,
  response: ServerResponse,
): Promise<void> {
  const {text, contentType} = await options.metrics();
  response.writeHead(200, {'content-type': contentType});
  response.end(text);
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body) + '\n');
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request.iterator({destroyOnReturn: false})) {
    size += (chunk as Buffer).length;
    if (size > BODY_LIMIT_BYTES)
      throw new RangeError('request body exceeds 16384 bytes');
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function parseUpstream(body: unknown): Upstream {
  const {service, address, slots, connections} = body as Upstream;
  if (typeof service !== 'string')
    throw new RangeError('service: expected a string');
  if (!isAddress(address))
    throw new RangeError(
      'address: expected a host name and a positive integer port',
    );
  if (!isPositiveInteger(slots))
    throw new RangeError('slots: expected a positive integer');
  if (!isPositiveInteger(connections))
    throw new RangeError('connections: expected a positive integer');
  return {service, address, slots, connections};
}

function isAddress(address: Address | undefined): boolean {
  return typeof address?.host === 'string' && isPositiveInteger(address.port);
}

function isPositiveInteger(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) > 0;
}
