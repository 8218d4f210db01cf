import http from 'node:http';
import net, {type AddressInfo, type Socket} from 'node:net';
import {once} from 'node:events';
import {
  createChannels,
  serveChannels,
  type ChannelHandler,
  type Channels,
  type ChannelServer,
} from '../../src/channel/index.js';
import type {Address} from '../../src/model/index.js';
import type {
  Call,
  ResponseHandler,
  Transport,
} from '../../src/upstream/index.js';

/** A server that accepts channels. */
export interface TestServer {
  readonly address: Address;
  readonly server: http.Server;
  readonly channels: ChannelServer;
  readonly problems: readonly string[];
  readonly close: () => void;
}

/**
 * Starts a server that accepts channels.
 *
 * @example
 * const {address} = await startServer((_, response) => response.end('done'));
 */
export async function startServer(
  handle: ChannelHandler,
  idleTimeoutMs = 10_000,
): Promise<TestServer> {
  const server = http.createServer((_, response) => response.end());
  const problems: string[] = [];
  const onProtocolError = (message: string) => problems.push(message);
  const channels = serveChannels(server, {
    handle,
    idleTimeoutMs,
    onProtocolError,
  });
  return {
    address: await listen(server),
    server,
    channels,
    problems,
    close: () => {
      void channels.close();
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Listens on a free port of the loopback interface. */
export async function listen(server: net.Server): Promise<Address> {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {host: '127.0.0.1', port};
}

/** The channels of a client. */
export interface TestClient {
  readonly to: Channels['to'];
  readonly close: () => void;
  /** Paths of the requests that took the fallback. */
  readonly fellBack: readonly string[];
  /** How often a channel was reported as silent. */
  readonly silences: () => number;
  /** Number of times at which bytes arrived. */
  readonly receptions: () => number;
}

/**
 * Creates a client; its fallback answers each request at once.
 *
 * @example
 * const {to, fellBack} = createClient();
 */
export function createClient(idleTimeoutMs = 10_000): TestClient {
  const fellBack: string[] = [];
  let silences = 0;
  let receptions = 0;
  const fallback: Transport = {
    dispatch: ({path}, handler) => {
      fellBack.push(path);
      handler.onConnect?.(() => {});
      handler.onComplete?.(null);
      return true;
    },
  };
  const channels = createChannels({
    connectTimeoutMs: 300,
    idleTimeoutMs,
    clock: () => performance.now(),
    fallback: () => fallback,
    onSilent: () => (silences += 1),
    onReceive: () => (receptions += 1),
  });
  return {
    ...channels,
    fellBack,
    silences: () => silences,
    receptions: () => receptions,
  };
}

/**
 * Creates a client and opens a channel.
 *
 * @example
 * const {transport, close} = await openChannel(server.address);
 */
export async function openChannel(
  address: Address,
  idleTimeoutMs?: number,
): Promise<TestClient & {readonly transport: Transport}> {
  const client = createClient(idleTimeoutMs);
  const transport = client.to(address);
  for (;;) {
    const count = client.fellBack.length;
    await send(transport, {path: '/open'}).received;
    if (client.fellBack.length === count) return {...client, transport};
    await pause(5);
  }
}

/** What a client received. */
export interface Received {
  readonly kind: 'complete' | 'error';
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: string;
  readonly trailers: readonly string[];
  /** The request was handed to a connection. */
  readonly isSent: boolean;
  readonly error?: Error;
}

/** A request in flight. */
export interface Exchange {
  readonly received: Promise<Received>;
  /** Bytes of the body so far. */
  readonly bytes: () => number;
  readonly abort: () => void;
  /** Continues after `isPaused` has returned true. */
  readonly resume: () => void;
}

/** Hooks of a receiver. */
export interface ReceiverHooks {
  /** Called with each part; a paused receiver takes no further ones. */
  readonly isPaused?: (part: Buffer) => boolean;
}

/**
 * Sends a request and collects its answer.
 *
 * @example
 * const {body} = await send(channels.to(address), {path: '/a'}).received;
 */
export function send(
  transport: Transport,
  call: Partial<Call> = {},
  {isPaused = () => false}: ReceiverHooks = {},
): Exchange {
  let status = 0;
  let headers: readonly string[] = [];
  let isSent = false;
  let abort: (reason: Error) => void = () => {};
  let resume = () => {};
  const parts: Buffer[] = [];
  const received = new Promise<Received>(resolve => {
    const finish = (fields: Partial<Received>) => {
      const body = Buffer.concat(parts).toString();
      const known = {status, headers, body, trailers: [], isSent};
      resolve({kind: 'complete', ...known, ...fields});
    };
    const handler: ResponseHandler = {
      onConnect: abortRequest => {
        isSent = true;
        abort = abortRequest;
      },
      onHeaders: (code, raw, resumeBody) => {
        status = code;
        headers = raw.map(String);
        resume = resumeBody;
        return true;
      },
      onData: part => {
        parts.push(part);
        return !isPaused(part);
      },
      onComplete: trailers => finish({trailers: trailers ?? []}),
      onError: error => finish({kind: 'error', error}),
    };
    const whole = {method: 'GET', path: '/', headers: [], body: null, ...call};
    transport.dispatch(whole as Parameters<Transport['dispatch']>[0], handler);
  });
  return {
    received,
    bytes: () => parts.reduce((sum, part) => sum + part.length, 0),
    abort: () => abort(new Error('aborted by the test')),
    resume: () => resume(),
  };
}

/** A proxy whose connections can fall silent. */
export interface Proxy {
  readonly address: Address;
  /** Number of connections accepted so far. */
  readonly accepted: () => number;
  /** Passes nothing more on over the connections that are open now. */
  readonly silence: () => void;
  /** Resets the connections that are open now. */
  readonly reset: () => void;
  readonly close: () => void;
}

/**
 * Starts a proxy in front of an address.
 *
 * @example
 * const proxy = await startProxy(server.address);
 * proxy.silence();
 */
export async function startProxy({host, port}: Address): Promise<Proxy> {
  const open = new Set<readonly [Socket, Socket]>();
  let accepted = 0;
  const server = net.createServer(client => {
    accepted += 1;
    const upstream = net.connect(port, host);
    const pair = [client, upstream] as const;
    open.add(pair);
    client.pipe(upstream);
    upstream.pipe(client);
    for (const socket of pair) {
      socket.on('error', () => {});
      socket.on('close', () => open.delete(pair));
    }
  });
  return {
    address: await listen(server),
    accepted: () => accepted,
    silence: () => {
      for (const [client, upstream] of open) {
        client.unpipe(upstream).resume();
        upstream.unpipe(client).resume();
      }
    },
    reset: () => {
      for (const [client] of open) client.resetAndDestroy();
    },
    close: () => {
      for (const [client, upstream] of open) {
        client.destroy();
        upstream.destroy();
      }
      server.close();
    },
  };
}

/** Waits for a time in milliseconds. */
export const pause = (ms: number) =>
  new Promise(resolve => setTimeout(resolve, ms));
