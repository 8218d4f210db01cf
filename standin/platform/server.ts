import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Change, WriteResult} from '../../src/store/store.js';
import {createCallCounter, type CallCounter} from './calls.js';
import {createObservableStore, type ObservableStore} from './observable.js';
import {MAX_VALUE_BYTES, changesAfter, listObjects} from './store.js';

/** Interval of the empty lines that keep a watch's connection alive. */
const KEEP_ALIVE_INTERVAL_MS = 1000;

/**
 * Path of the call that sets faults; served even while the platform is down.
 */
const FAULTS_PATH = '/faults';

/** Faults set by `POST /faults`; omitted ones stay unchanged. */
export interface PlatformFaults {
  /** Resets every connection, including those of open watches. */
  readonly down?: boolean;
  /** Delay of every call before it takes effect. */
  readonly slowMs?: number;
  /** Number of writes to apply and then close without a response. */
  readonly loseAnswers?: number;
}

interface Context {
  readonly objectStore: ObservableStore;
  readonly counter: CallCounter;
  readonly sockets: Set<Socket>;
  faults: Required<PlatformFaults>;
}

interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
}

/**
 * Creates the HTTP server of the platform stand-in, not yet listening.
 *
 * @example
 * createPlatformServer().listen(0, '127.0.0.1');
 */
export function createPlatformServer(): Server {
  const context: Context = {
    objectStore: createObservableStore(),
    counter: createCallCounter(),
    sockets: new Set(),
    faults: {down: false, slowMs: 0, loseAnswers: 0},
  };
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://platform');
    handleCall(context, {request, response, url}).catch(() =>
      request.socket.destroy(),
    );
  });
  server.on('connection', (socket: Socket) => {
    context.sockets.add(socket);
    socket.on('close', () => context.sockets.delete(socket));
  });
  return server;
}

async function handleCall(context: Context, call: Call): Promise<void> {
  const {request, response, url} = call;
  if (url.pathname === FAULTS_PATH) return setFaults(context, call);
  if (url.pathname === '/calls') {
    return sendJson(response, 200, context.counter.counts());
  }
  if (context.faults.down) return void request.socket.destroy();
  const body = await readBody(request);
  if (context.faults.slowMs > 0) await delay(context.faults.slowMs);
  if (context.faults.down) return void request.socket.destroy();
  const route = `${request.method} ${url.pathname}`;
  if (route === 'GET /objects') return readObjects(context, call);
  if (route === 'PUT /objects') return putObject(context, call, body);
  if (route === 'DELETE /objects') return deleteObject(context, call);
  if (route === 'GET /watch') return watchObjects(context, call);
  sendJson(response, 404, {message: `no such call: ${route}`});
}

async function setFaults(context: Context, call: Call): Promise<void> {
  const body = await readBody(call.request);
  const faults = JSON.parse(body.toString()) as PlatformFaults;
  context.faults = {...context.faults, ...faults};
  if (faults.down) {
    for (const socket of context.sockets) {
      if (socket !== call.request.socket) socket.resetAndDestroy();
    }
  }
  sendJson(call.response, 200, context.faults);
}

function readObjects(context: Context, {response, url}: Call): void {
  const prefix = url.searchParams.get('prefix');
  context.counter.count(prefix === null ? 'get' : 'list', Date.now());
  const store = context.objectStore.snapshot();
  if (prefix !== null)
    return sendJson(response, 200, listObjects(store, prefix));
  const found = store.objects.get(url.searchParams.get('key') ?? '');
  if (found) return sendJson(response, 200, found);
  sendJson(response, 404, {message: 'no such object'});
}

function putObject(context: Context, call: Call, body: Buffer): void {
  context.counter.count('put', Date.now());
  const {response, url} = call;
  const key = url.searchParams.get('key');
  const expected = Number(url.searchParams.get('expected') ?? NaN);
  if (body.length > MAX_VALUE_BYTES) {
    return sendJson(response, 413, {
      message: 'the value exceeds the size limit',
    });
  }
  const value = body.toString();
  if (!key || !Number.isInteger(expected) || !isJson(value)) {
    return sendJson(response, 400, {
      message: 'required: key, an integer in expected, and a JSON value',
    });
  }
  sendWriteResult(
    context,
    call,
    context.objectStore.write({key, value, expected}),
  );
}

function deleteObject(context: Context, call: Call): void {
  context.counter.count('delete', Date.now());
  const key = call.url.searchParams.get('key');
  const expected = Number(call.url.searchParams.get('expected') ?? NaN);
  if (!key || !Number.isInteger(expected)) {
    return sendJson(call.response, 400, {
      message: 'required: key, and an integer in expected',
    });
  }
  sendWriteResult(context, call, context.objectStore.write({key, expected}));
}

function sendWriteResult(
  context: Context,
  call: Call,
  result: WriteResult,
): void {
  const {faults} = context;
  if (faults.loseAnswers > 0) {
    context.faults = {...faults, loseAnswers: faults.loseAnswers - 1};
    call.request.socket.destroy();
    return;
  }
  if (result.kind === 'stored') {
    return sendJson(call.response, 200, {version: result.version});
  }
  sendJson(call.response, 409, {current: result.current});
}

function watchObjects(context: Context, {response, url}: Call): void {
  context.counter.count('watch', Date.now());
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = Number(url.searchParams.get('after') ?? 0);
  const pastChanges = changesAfter(
    context.objectStore.snapshot(),
    prefix,
    after,
  );
  if (!pastChanges) {
    return sendJson(response, 410, {
      message: `no changes since revision ${after} available`,
    });
  }
  response.writeHead(200, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();
  const send = (change: Change) => {
    if (!change.key.startsWith(prefix)) return;
    response.write(JSON.stringify(change) + '\n');
  };
  pastChanges.forEach(send);
  const unsubscribe = context.objectStore.subscribe(send);
  const timer = setInterval(() => response.write('\n'), KEEP_ALIVE_INTERVAL_MS);
  response.on('close', () => {
    unsubscribe();
    clearInterval(timer);
  });
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts);
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: object,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

function delay(timeMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, timeMs));
}
