import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {delay, sendJson, sendEcho, type Echo} from './answer.js';
import type {Execution, ExecutionOutcome} from './journal.js';
import {
  isShedding,
  mayExecute,
  sampleServiceMs,
  type Upstream,
} from './upstream.js';

/** Header of a response to a request that the daemon's grant did not cover. */
const FENCED_HEADERS = {'vanillaspool-fenced': 'true'};

/** Headers of a response that sheds load. */
const SHED_HEADERS = {'vanillaspool-shed': 'true', 'retry-after': '1'};

interface Upload {
  readonly bytes: number;
  readonly hash: string;
}

/** Executes a request of the service and sends the response. */
export async function execute(
  upstream: Upstream,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (isShedding(upstream)) {
    return sendJson(response, 503, {message: 'shed'}, SHED_HEADERS);
  }
  const deadlineMs = performance.now() + readDeadline(request);
  const url = new URL(request.url ?? '/', 'http://upstream');
  const execution = createExecution(upstream, request, url);
  const number = upstream.journal.begin(execution);
  const checkRefusal = () =>
    findRefusal(upstream, request, execution, deadlineMs);
  let outcome: ExecutionOutcome = 'cancelled';
  let upload: Upload = {bytes: 0, hash: ''};
  await upstream.slots.acquire();
  try {
    outcome = checkRefusal() ?? 'running';
    if (outcome === 'running') {
      upload = await readUpload(request);
      await simulateWork(upstream, request);
      outcome = checkRefusal() ?? 'committed';
    }
  } catch {
    outcome = 'cancelled';
  } finally {
    upstream.slots.release();
    upstream.journal.end(number, outcome, Date.now());
  }
  const padding = createPadding(url);
  const echo = {...createEcho(upstream, execution, upload), padding};
  await respond(response, outcome, echo, url);
}

function readDeadline(request: IncomingMessage): number {
  const text = request.headers['vanillaspool-deadline'];
  return text === undefined ? Infinity : Number(text);
}

function createExecution(
  upstream: Upstream,
  request: IncomingMessage,
  url: URL,
): Execution {
  const {headers} = request;
  const header = headers[upstream.options.keyHeader];
  const segment = url.pathname.split('/')[2] ?? '';
  return {
    id: firstValue(headers['vanillaspool-request']) ?? '',
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    key: firstValue(header) ?? decodeURIComponent(segment),
    idempotencyKey: firstValue(headers['idempotency-key']),
    slice: parseNumber(headers['vanillaspool-slice']),
    epoch: parseNumber(headers['vanillaspool-epoch']),
    started: Date.now(),
    outcome: 'running',
  };
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value;
}

function parseNumber(value: string | string[] | undefined): number | undefined {
  const text = firstValue(value);
  return text === undefined ? undefined : Number(text);
}

function findRefusal(
  upstream: Upstream,
  request: IncomingMessage,
  {slice, epoch}: Execution,
  deadlineMs: number,
): ExecutionOutcome | undefined {
  if (request.socket.destroyed) return 'cancelled';
  if (!mayExecute(upstream, slice, epoch)) return 'fenced';
  if (performance.now() >= deadlineMs) return 'expired';
  return undefined;
}

async function readUpload(request: IncomingMessage): Promise<Upload> {
  const hash = createHash('sha256');
  let bytes = 0;
  for await (const part of request) {
    bytes += (part as Buffer).length;
    hash.update(part as Buffer);
  }
  return {bytes, hash: hash.digest('hex')};
}

async function simulateWork(
  upstream: Upstream,
  request: IncomingMessage,
): Promise<void> {
  let cancel = () => {};
  const cancelled = new Promise<void>(resolve => {
    cancel = resolve;
  });
  request.socket.once('close', cancel);
  await Promise.race([delay(sampleServiceMs(upstream)), cancelled]);
  request.socket.off('close', cancel);
}

function createEcho(
  upstream: Upstream,
  execution: Execution,
  upload: Upload,
): Echo {
  return {
    upstream: upstream.name,
    request: execution.id,
    key: execution.key,
    method: execution.method,
    path: execution.path,
    bodyBytes: upload.bytes,
    bodyHash: upload.hash,
  };
}

function createPadding(url: URL): string | undefined {
  const length = Number(url.searchParams.get('pad') ?? 0);
  return length > 0 ? '.'.repeat(length) : undefined;
}

async function respond(
  response: ServerResponse,
  outcome: ExecutionOutcome,
  echo: Echo,
  url: URL,
): Promise<void> {
  if (outcome === 'committed') return sendEcho(response, echo, url);
  if (outcome === 'fenced') {
    return sendJson(response, 409, {message: 'fenced'}, FENCED_HEADERS);
  }
  if (outcome === 'expired') {
    return sendJson(response, 504, {message: 'the deadline has passed'});
  }
  response.destroy();
}
