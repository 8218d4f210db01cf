import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Recorder} from './record.mjs';

/** Keys that an endpoint holds, from its grant to its end. */
export interface Hold {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  /** Unix milliseconds. */
  readonly since: number;
  until: number;
}

/** A request at which the endpoint works. */
export interface Run {
  readonly id: string;
  readonly key?: number;
  readonly startedAt: number;
  /** End of the hold under which it runs. */
  readonly holdUntil: number;
}

/** Settings of an endpoint. */
export interface EndpointOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Address that it listens on, as `ip:port`. */
  readonly address: string;
  readonly control: string;
  readonly slots: number;
  readonly keyed: boolean;
  readonly grants: 'rpc' | 'heartbeat';
  /** Returns the time that a request takes, in milliseconds. */
  readonly workMs: () => number;
  readonly record: Recorder;
  readonly born?: number;
}

/** A running endpoint. */
export interface Endpoint {
  readonly id: string;
  readonly address: string;
  readonly running: ReadonlySet<Run>;
  readonly ran: Map<string, number>;
  holds: Hold[];
  /** Highest fencing token with which each key was held. */
  readonly fences: Uint32Array;
  isUp: boolean;
  /**
   * Returns whether a second copy of an answer comes late, at the point where
   * the next answer on its connection is expected.
   */
  isCopied: () => boolean;
  answers: number;
  copies: number;
  /** Called with each range that it is granted, before it holds it. */
  onGrant: (range: Hold, isRenewal: boolean) => void;
  /** Called with each request that begins. */
  onRun: (run: Run) => void;
  readonly beat: (state?: 'ready' | 'draining') => Promise<number>;
  /** Leaves as planned: drains, departs and ends. */
  readonly leave: () => Promise<void>;
  /** Ends at once, as a crash does. */
  readonly crash: () => void;
}

const HEARTBEAT_MS = 870;

interface Waiting {
  readonly start: () => void;
}

/** Starts an endpoint that behaves as the pages describe. */
export async function startEndpoint(
  options: EndpointOptions,
): Promise<Endpoint> {
  const {id, service, zone, address, control, slots, keyed, grants, record} =
    options;
  const born = options.born ?? Date.now();
  const running = new Set<Run>();
  const queue: Waiting[] = [];
  const owed = new WeakMap<Socket, Buffer>();
  const fences = new Uint32Array(65536);
  let freed: [number, number, string][] = [];
  let sequence = 0;
  let state: 'ready' | 'draining' = 'ready';

  const holdOf = (key: number) =>
    endpoint.holds.find(
      ({from, to, until}) => from <= key && key <= to && Date.now() < until,
    );

  const withdraw = (from: number, to: number) => {
    endpoint.holds = endpoint.holds.flatMap(hold => {
      if (hold.to < from || hold.from > to) return [hold];
      const below = {...hold, to: from - 1};
      const above = {...hold, from: to + 1};
      return [below, above].filter(part => part.from <= part.to);
    });
  };

  const give = (from: number, to: number, fence: number, until: number) => {
    const same = endpoint.holds.find(
      hold =>
        hold.from <= from &&
        to <= hold.to &&
        hold.fence === fence &&
        Date.now() < hold.until,
    );
    const hold = {from, to, fence, since: same?.since ?? Date.now(), until};
    endpoint.onGrant(hold, same !== undefined);
    withdraw(from, to);
    endpoint.holds = [...endpoint.holds, hold];
    if (same) return;
    fences.fill(fence, from, to + 1);
    record.note(`${id} holds ${from}-${to} fence ${fence}`);
  };

  const isOutranked = (from: number, to: number, fence: number) => {
    for (let key = from; key <= to; key++) if (fences[key] > fence) return true;
    return false;
  };

  /** Resolves when no work runs on a range any more. */
  const untilIdle = async (from: number, to: number) => {
    const isBusy = () =>
      [...running].some(({key = -1}) => from <= key && key <= to);
    while (isBusy()) await new Promise(resolve => setTimeout(resolve, 5));
  };

  const handleKeyCall = async (
    kind: 'grant' | 'release',
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const arrivedAt = Date.now();
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = JSON.parse(Buffer.concat(parts).toString());
    const {from, target_version: to, fence, hold_s: holdS} = body;
    if (kind === 'grant') {
      if (isOutranked(from, to, fence)) {
        response.writeHead(409).end();
        return;
      }
      give(from, to, fence, arrivedAt + holdS * 1000);
      response.writeHead(200).end();
      return;
    }
    record.note(`${id} is to release ${from}-${to} fence ${fence}`);
    withdraw(from, to);
    await untilIdle(from, to);
    record.note(`${id} has released ${from}-${to}`);
    response.setHeader('X-Vanillaspool-Handover', `h-${id}-${fence}`);
    response.writeHead(200).end();
  };

  const server = http.createServer((request, response) => {
    const {socket} = request;
    const copy = owed.get(socket);
    if (copy) {
      owed.delete(socket);
      endpoint.copies += 1;
      record.note(
        `${id} sends a late copy before its answer to ${request.url}`,
      );
      socket.write(copy);
    }
    const header = (name: string) =>
      request.headers[`x-vanillaspool-${name}`] as string | undefined;
    const expected = header('expected-instance');
    if (expected !== undefined && expected !== id) {
      request.resume();
      response.setHeader('X-Vanillaspool-Instance-Id', id);
      response.writeHead(421).end();
      return;
    }
    if (request.url === '/-/grant' || request.url === '/-/release') {
      const kind = request.url === '/-/grant' ? 'grant' : 'release';
      void handleKeyCall(kind, request, response);
      return;
    }
    const requestId = header('request-id') ?? '';
    const text = header('shard-key');
    const key = text === undefined ? undefined : Number(text);
    const hold = key === undefined ? undefined : holdOf(key);
    response.setHeader('X-Vanillaspool-Request-Id', requestId);
    request.resume();
    if (keyed && !hold) {
      response.setHeader('X-Vanillaspool-Not-Executed', '1');
      response.writeHead(421).end();
      return;
    }
    const refuse = () => {
      response.setHeader('X-Vanillaspool-Not-Executed', '1');
      response.writeHead(503).end();
    };
    const start = () => {
      if (response.destroyed) return next();
      const current = key === undefined ? undefined : holdOf(key);
      if (keyed && !current) {
        refuse();
        return next();
      }
      const holdUntil = current?.until ?? Infinity;
      const run = {id: requestId, key, startedAt: Date.now(), holdUntil};
      running.add(run);
      endpoint.ran.set(requestId, (endpoint.ran.get(requestId) ?? 0) + 1);
      endpoint.onRun(run);
      record.note(`${id} runs ${requestId} key ${key}`);
      const timer = setTimeout(() => {
        end();
        const body = `answer to ${requestId}`;
        const load = `${running.size},${queue.length},${slots}`;
        const signature = `s-${requestId}`;
        response.setHeader('X-Vanillaspool-Response-Signature', signature);
        response.setHeader('X-Vanillaspool-Server-Load', load);
        response.end(body);
        endpoint.answers += 1;
        if (!endpoint.isCopied()) return;
        owed.set(
          socket,
          Buffer.from(
            'HTTP/1.1 200 OK\r\n' +
              `X-Vanillaspool-Request-Id: ${requestId}\r\n` +
              `X-Vanillaspool-Response-Signature: ${signature}\r\n` +
              `X-Vanillaspool-Server-Load: ${load}\r\n` +
              `Content-Length: ${body.length}\r\n\r\n${body}`,
          ),
        );
      }, options.workMs());
      const end = () => {
        clearTimeout(timer);
        if (!running.delete(run)) return;
        next();
      };
      response.once('close', end);
    };
    const next = () => {
      while (running.size < slots && queue.length > 0) queue.shift()?.start();
    };
    if (running.size < slots) start();
    else if (queue.length < slots * 4) queue.push({start});
    else refuse();
  });
  server.keepAliveTimeout = 10_000;
  const [host, port] = address.split(':');
  await new Promise<void>(resolve =>
    server.listen(Number(port), host, resolve),
  );

  const call = async (method: string, body: object) => {
    const response = await fetch(`http://${control}/-/instances/${id}`, {
      method,
      body: JSON.stringify(body),
      headers: {'content-type': 'application/json'},
      signal: AbortSignal.timeout(1000),
    });
    return {status: response.status, body: (await response.json()) as any};
  };

  const beat = async (next = state) => {
    state = next;
    sequence += 1;
    const sentAt = Date.now();
    const reported = freed;
    const live = endpoint.holds.filter(({until}) => sentAt < until);
    const atWork = [...running].filter(({key}) => key !== undefined);
    const busy = atWork
      .filter(({key}) => !live.some(h => h.from <= key! && key! <= h.to))
      .map(({key}) => [key, key, fences[key!]]);
    const answer = await call('PUT', {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_left_s: 0,
      seq: sequence,
      born,
      ...(grants === 'heartbeat' && {
        holds: [...live.map(h => [h.from, h.to, h.fence]), ...busy],
        freed: reported,
      }),
    });
    if (answer.status !== 200) {
      record.note(`${id} beat answered ${answer.status}`);
      return answer.status;
    }
    freed = freed.slice(reported.length);
    const rows = answer.body.holds as [number, number, number, string][];
    if (grants !== 'heartbeat' || !rows) return answer.status;
    const until = sentAt + (answer.body.hold_s ?? 0) * 1000;
    const before = endpoint.holds;
    const isIn = (key: number) => rows.some(r => r[0] <= key && key <= r[1]);
    for (const {from, to, fence} of before) {
      let start = -1;
      for (let key = from; key <= to + 1; key++) {
        const isOut = key <= to && !isIn(key);
        if (isOut && start < 0) start = key;
        if (isOut || start < 0) continue;
        const last = key - 1;
        const first = start;
        start = -1;
        withdraw(first, last);
        record.note(`${id} lets ${first}-${last} go`);
        void untilIdle(first, last).then(() => {
          freed.push([first, last, `h-${id}-${fence}`]);
          setTimeout(() => beat().catch(() => {}), 50);
        });
      }
    }
    for (const [from, to, fence] of rows) {
      if (!isOutranked(from, to, fence)) give(from, to, fence, until);
    }
    return answer.status;
  };

  const timer = setInterval(() => {
    beat().catch(error => record.note(`${id} beat failed: ${error.message}`));
  }, HEARTBEAT_MS);
  const stop = () => {
    clearInterval(timer);
    endpoint.isUp = false;
    endpoint.holds = [];
    running.clear();
    server.closeAllConnections();
    server.close();
  };

  const endpoint: Endpoint = {
    id,
    address,
    running,
    ran: new Map(),
    holds: [],
    fences,
    isUp: true,
    isCopied: () => false,
    answers: 0,
    copies: 0,
    onGrant: () => {},
    onRun: () => {},
    beat,
    leave: async () => {
      record.note(`${id} drains`);
      await beat('draining').catch(() => 0);
      await new Promise(resolve => setTimeout(resolve, 2500));
      await call('DELETE', {born}).catch(() => 0);
      record.note(`${id} has left`);
      stop();
    },
    crash: stop,
  };
  beat().catch(error => record.note(`${id} beat failed: ${error.message}`));
  return endpoint;
}
