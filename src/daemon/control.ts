import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Address, Explanation, Status} from '../model/index.js';
import type {Upstream} from '../upstream/index.js';

/** What operators and the upstream may ask of a daemon. */
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

/** Size limit of the body of a control request, in bytes. */
const BODY_LIMIT_BYTES = 16_384;

/**
 * Creates the server of the control address.
 *
 * @example
 * createControlServer(options).listen(9090, '127.0.0.1');
 */
export function createControlServer(options: ControlOptions): Server {
  return createServer((request, response) => {
    handle(options, request, response).catch(error => {
      sendJson(response, 400, {message: String(error)});
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
      return sendJson(response, 404, {message: `no such call: ${route}`});
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
  const message = `no service with keys is named ${service}`;
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
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > BODY_LIMIT_BYTES) throw new RangeError('body is too long');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

function parseUpstream(body: unknown): Upstream {
  const {service, address, slots, connections} = body as Upstream;
  if (typeof service !== 'string') throw new RangeError('service is no name');
  if (!isAddress(address)) throw new RangeError('address is no address');
  if (!isPositiveInteger(slots)) throw new RangeError('slots is no count');
  if (!isPositiveInteger(connections))
    throw new RangeError('connections is no count');
  return {service, address, slots, connections};
}

function isAddress(address: Address | undefined): boolean {
  return typeof address?.host === 'string' && isPositiveInteger(address.port);
}

function isPositiveInteger(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) > 0;
}
