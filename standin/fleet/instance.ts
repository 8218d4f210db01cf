import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './store.js';

/** One row of what the instance holds: first key, last key, fencing token. */
export type HeldRow = readonly [from: number, to: number, fence: number];

/** How a stand-in of an instance behaves. */
export interface InstanceOptions {
  readonly id: string;
  readonly born: number;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly workMs: number;
  readonly keyed: boolean;
  readonly heartbeatIntervalMs: number;
  /** How it gets its keys; with the answers to heartbeats if missing. */
  readonly grants?: 'heartbeat' | 'call';
  /** Address that takes heartbeats. */
  readonly control: string;
  readonly port?: number;
}

/** A request that the instance began to run. */
export interface Run {
  readonly id: string;
  readonly key?: number;
  readonly at: number;
  /** Length of the body as far as it has arrived, in bytes. */
  bodyBytes: number;
}

/** A call by which the instance gets keys or gives them back. */
export interface KeyCall {
  readonly kind: 'grant' | 'release';
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly handover: string;
}

/**
 * What becomes of a call.
 *
 * - `lost`: it is carried out, and its connection closes without an answer.
 * - `late`: the same, but it is carried out `lateMs` later.
 * - `endless`: it is carried out, and its answer never ends.
 */
export type CallFault = 'none' | 'lost' | 'late' | 'endless';

/** What an instance says of itself, as the texts of the headers. */
export interface StatedHeaders {
  /** Requests a second that it takes from all daemons together. */
  readonly limit?: string;
  /** It is about to end. */
  readonly leaving?: string;
}

/** A stand-in for an upstream instance that owns keys. */
export interface InstanceStandin {
  readonly address: string;
  readonly runs: readonly Run[];
  /** Rows that it holds now. */
  readonly holds: () => readonly HeldRow[];
  /** Sends one heartbeat and applies the answer. */
  readonly sendHeartbeat: (state?: 'ready' | 'draining') => Promise<number>;
  readonly sendDeparture: () => Promise<number>;
  /** What it says of itself in each answer. */
  statedHeaders: StatedHeaders;
  /** Replaces the next answers: the function may write anything. */
  replaceAnswer?: (response: ServerResponse, id: string) => boolean;
  /** Calls for its keys in the order of their arrival. */
  readonly calls: readonly KeyCall[];
  /** Decides what becomes of a call. */
  chooseCallFault?: (call: KeyCall) => CallFault;
  /** Time after which a late call is carried out, in milliseconds. */
  lateMs: number;
  /** Forgets all keys that it holds. */
  readonly dropKeys: () => void;
  /** Time for which it works on keys that it is to let go, in milliseconds. */
  releaseDelayMs: number;
  /** Time after which it has read the answer to a heartbeat, in milliseconds. */
  answerReadDelayMs: number;
  /** Stops heartbeats, and nothing else. */
  readonly stopHeartbeats: () => void;
  /** Stops heartbeats and closes the port, as a crash does. */
  readonly crash: () => void;
}

const SIGNATURE = 'signed';

/**
 * Starts a stand-in of an instance. It fetches its keys with each heartbeat and
 * refuses requests for others.
 *
 * @example
 * const instance = await startInstance(options);
 */
export async function startInstance(
  options: InstanceOptions,
): Promise<InstanceStandin> {
  const {id, born, service, zone, slots, workMs, keyed, control} = options;
  const runs: Run[] = [];
  let held: HeldRow[] = [];
  let heldUntil = 0;
  let freed: (readonly [number, number, string])[] = [];
  /** Rows that it was to let go, and until when it works on them. */
  let leaving: {readonly row: HeldRow; readonly until: number}[] = [];
  let sequence = 0;
  let running = 0;
  let announced: 'ready' | 'draining' = 'ready';

  const callGrants = createCallGrants(id);
  const getHeartbeatRows = () => (Date.now() < heldUntil ? held : []);
  const getHeldRows =
    options.grants === 'call' ? callGrants.holds : getHeartbeatRows;
  const holdsKey = (key: number) =>
    getHeldRows().some(([from, to]) => from <= key && key <= to);

  const standin: {-readonly [K in keyof InstanceStandin]: InstanceStandin[K]} =
    {
      address: '',
      statedHeaders: {},
      releaseDelayMs: 0,
      answerReadDelayMs: 0,
      lateMs: 0,
      calls: callGrants.calls,
      dropKeys: callGrants.dropKeys,
      runs,
      holds: getHeldRows,
      sendHeartbeat: state => beat(state),
      sendDeparture: () =>
        callControl(control, 'DELETE', id, {born}).then(r => r.status),
      stopHeartbeats: () => clearInterval(timer),
      crash: () => {
        clearInterval(timer);
        server.closeAllConnections();
        server.close();
      },
    };

  const server = http.createServer((request, response) => {
    const {limit, leaving} = standin.statedHeaders;
    if (limit !== undefined) response.setHeader('Server-Limit', limit);
    if (leaving !== undefined) response.setHeader('Server-Leaving', leaving);
    if (request.url === '/-/grant' || request.url === '/-/release') {
      const kind = request.url === '/-/grant' ? 'grant' : 'release';
      void callGrants.handle(kind, request, response, standin);
      return;
    }
    const header = (name: string) =>
      request.headers[`x-vanillaspool-${name}`] as string | undefined;
    const requestId = header('request-id') ?? '';
    const text = header('shard-key');
    const key = text === undefined ? undefined : Number(text);
    response.setHeader('X-Vanillaspool-Request-Id', requestId);
    const expected = header('expected-instance');
    if (expected !== undefined && expected !== id) {
      response.setHeader('X-Vanillaspool-Instance-Id', id);
      response.writeHead(421).end();
      return;
    }
    if (keyed && (key === undefined || !holdsKey(key))) {
      response.setHeader('X-Vanillaspool-Not-Executed', '1');
      response.writeHead(421).end();
      return;
    }
    running += 1;
    const run: Run = {id: requestId, key, at: Date.now(), bodyBytes: 0};
    runs.push(run);
    request.on('data', (part: Buffer) => (run.bodyBytes += part.length));
    const finish = setTimeout(() => {
      if (standin.replaceAnswer?.(response, requestId)) return;
      response.setHeader('X-Vanillaspool-Response-Signature', SIGNATURE);
      const load = `${running},0,${slots}`;
      response.setHeader('X-Vanillaspool-Server-Load', load);
      response.end(`answer to ${requestId}`);
    }, workMs);
    response.once('close', () => {
      running -= 1;
      clearTimeout(finish);
    });
  });
  await listen(server, options.port ?? 0);
  const bound = server.address() as AddressInfo;
  standin.address = `127.0.0.1:${bound.port}`;

  const beat = async (state = announced) => {
    announced = state;
    sequence += 1;
    const sentAt = Date.now();
    const done = leaving.filter(({until}) => until <= sentAt);
    leaving = leaving.filter(({until}) => until > sentAt);
    for (const {row} of done) {
      freed.push([row[0], row[1], `token-${id}-${row[2]}`]);
    }
    const reported = freed;
    const answer = await callControl(control, 'PUT', id, {
      service,
      address: standin.address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_left_s: 0,
      seq: sequence,
      born,
      ...(options.grants !== 'call' && {
        holds: [...getHeldRows(), ...leaving.map(({row}) => row)],
        freed: reported,
      }),
    });
    const {holds, hold_s: holdS} = answer.body as HeartbeatReply;
    if (standin.answerReadDelayMs > 0) await sleep(standin.answerReadDelayMs);
    if (answer.status === 200) freed = freed.slice(reported.length);
    if (answer.status !== 200 || !holds) return answer.status;
    const kept = (row: HeldRow) =>
      holds.some(([from, to]) => from <= row[0] && row[1] <= to);
    for (const row of getHeldRows()) {
      if (kept(row)) continue;
      const until = sentAt + standin.releaseDelayMs;
      leaving.push({row, until});
    }
    held = holds.map(([from, to, fence]) => [from, to, fence]);
    heldUntil = sentAt + (holdS ?? 0) * 1000;
    return answer.status;
  };
  const timer = setInterval(() => {
    // A daemon that is away is tried again with the next heartbeat.
    beat().catch(() => {});
  }, options.heartbeatIntervalMs);
  return standin;
}

/** Body of a call for keys. */
interface WireCall {
  readonly from: number;
  readonly target_version: number;
  readonly fence: number;
  readonly hold_s?: number;
  readonly handover?: string;
}

/** Keys that an instance got by calls. */
function createCallGrants(id: string) {
  let held: {readonly row: HeldRow; readonly until: number}[] = [];
  let grantedRows: HeldRow[] = [];
  const calls: KeyCall[] = [];
  const overlaps = (a: HeldRow, {from, to}: KeyCall) =>
    a[0] <= to && from <= a[1];
  const withdraw = (call: KeyCall) => {
    held = held.flatMap(({row, until}) => {
      if (!overlaps(row, call)) return [{row, until}];
      const [from, to, fence] = row;
      const parts: HeldRow[] = [
        [from, call.from - 1, fence],
        [call.to + 1, to, fence],
      ];
      return parts
        .filter(part => part[0] <= part[1])
        .map(part => ({row: part, until}));
    });
  };
  const grant = (call: KeyCall, until: number) => {
    const {from, to, fence} = call;
    const isOutranked = grantedRows.some(
      row => overlaps(row, call) && row[2] > fence,
    );
    if (isOutranked) return 409;
    withdraw(call);
    grantedRows = [...grantedRows, [from, to, fence]];
    held = [...held, {row: [from, to, fence], until}];
    return 200;
  };
  const handle = async (
    kind: KeyCall['kind'],
    request: IncomingMessage,
    response: ServerResponse,
    standin: Pick<
      InstanceStandin,
      'chooseCallFault' | 'lateMs' | 'releaseDelayMs'
    >,
  ) => {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = JSON.parse(Buffer.concat(parts).toString()) as WireCall;
    const {from, target_version: to, fence, hold_s: holdS, handover} = body;
    const call = {kind, from, to, fence, handover: handover ?? ''};
    calls.push(call);
    const until = Date.now() + (holdS ?? 0) * 1000;
    const fault = standin.chooseCallFault?.(call) ?? 'none';
    if (fault === 'late') {
      setTimeout(() => grant(call, until), standin.lateMs);
      request.socket.destroy();
      return;
    }
    let status = 200;
    if (kind === 'grant') status = grant(call, until);
    else withdraw(call);
    if (kind === 'release' && standin.releaseDelayMs > 0) {
      await sleep(standin.releaseDelayMs);
    }
    if (fault === 'lost') {
      request.socket.destroy();
      return;
    }
    if (kind === 'release') {
      response.setHeader('X-Vanillaspool-Handover', `token-${id}-${fence}`);
    }
    response.writeHead(status);
    if (fault === 'endless') writeUntilClosed(response);
    else response.end();
  };
  return {
    calls,
    handle,
    holds: () =>
      held.filter(({until}) => Date.now() < until).map(({row}) => row),
    dropKeys: () => {
      held = [];
    },
  };
}

const REPEATED_CHUNK = 'x'.repeat(64 * 1024);

/**
 * Writes the same part until the other side closes.
 *
 * @param onWrite Told of the characters that are written.
 *
 * @example
 * writeWithoutEnd(response, part, length => (written += length));
 */
export function writeUntilClosed(
  target: Writable,
  part = REPEATED_CHUNK,
  onWrite: (length: number) => void = () => {},
): void {
  const writeMore = () => {
    while (!target.destroyed) {
      onWrite(part.length);
      if (!target.write(part)) return;
    }
  };
  target.on('drain', writeMore);
  target.on('error', () => {});
  writeMore();
}

interface HeartbeatReply {
  readonly holds?: readonly (readonly [number, number, number, string])[];
  readonly hold_s?: number;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

async function callControl(
  control: string,
  method: string,
  id: string,
  body: object,
): Promise<Answer> {
  const response = await fetch(`http://${control}/-/instances/${id}`, {
    method,
    body: JSON.stringify(body),
    headers: {'content-type': 'application/json'},
    signal: AbortSignal.timeout(1000),
  });
  return {status: response.status, body: await response.json()};
}
