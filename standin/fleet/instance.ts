import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Writable} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './store.js';

/** A key range that the instance holds: first key, last key, fencing token. */
export type HeldRow = readonly [from: number, to: number, fence: number];

/** Settings of an instance stand-in. */
export interface InstanceOptions {
  readonly id: string;
  /** Number that orders incarnations; a later one is higher. */
  readonly born: number;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  /**
   * Time from the arrival of a request that is run to its response, in
   * milliseconds.
   */
  readonly workMs: number;
  readonly keyed: boolean;
  readonly heartbeatIntervalMs: number;
  /** How keys are granted; by responses to heartbeats if missing. */
  readonly grants?: 'heartbeat' | 'call';
  /** Address that receives heartbeats. */
  readonly control: string;
  /** Loopback address that it listens on; 127.0.0.1 if missing. */
  readonly host?: string;
  readonly port?: number;
}

/** A request that the instance started to run. */
export interface Run {
  readonly id: string;
  readonly key?: number;
  readonly path: string;
  readonly at: number;
  /** Bytes of the body that have arrived. */
  bodyBytes: number;
}

/** A call that grants keys to the instance or releases them. */
export interface KeyCall {
  readonly kind: 'grant' | 'release';
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  /**
   * Token from the response to a release, sent with the grant to the next
   * holder; empty if none.
   */
  readonly handover: string;
}

/**
 * Fault of a call that grants or releases keys.
 *
 * - `lost`: it is applied, and its connection closes without a response.
 * - `late`: its connection closes without a response. `lateMs` later it is
 *   applied as a grant, unless it is outranked; the lease is counted from the
 *   arrival of the call. This holds for a release too, but as that has no
 *   lease, its keys are only withdrawn.
 * - `endless`: it is applied, and its response never ends.
 */
export type CallFault = 'none' | 'lost' | 'late' | 'endless';

/** Header values by which an instance states its limit and its shutdown. */
export interface StatedHeaders {
  /** Requests per second that it accepts from all daemons together. */
  readonly limit?: string;
  /** Announces its shutdown. */
  readonly leaving?: string;
}

/** A running stand-in for an upstream instance. */
export interface InstanceStandin {
  readonly address: string;
  readonly runs: readonly Run[];
  /** Returns the key ranges that it currently holds. */
  readonly holds: () => readonly HeldRow[];
  /** Sends a heartbeat, applies the response and returns its status. */
  readonly sendHeartbeat: (state?: 'ready' | 'draining') => Promise<number>;
  readonly sendDeparture: () => Promise<number>;
  /** Headers that it adds to each response. */
  statedHeaders: StatedHeaders;
  /**
   * Returns whether a request ends the instance that runs it, in place of a
   * response.
   */
  isDeadly?: (path: string) => boolean;
  /** Called when the instance has ended. */
  onCrash?: () => void;
  /**
   * Called instead of sending a response; may write anything. Returns false to
   * send the normal response.
   */
  replaceAnswer?: (response: ServerResponse, id: string) => boolean;
  /**
   * All received grant and release calls, including refused and faulty ones, in
   * order of arrival.
   */
  readonly calls: readonly KeyCall[];
  /** Chooses the fault of a call; none if missing. */
  chooseCallFault?: (call: KeyCall) => CallFault;
  /** Delay after which a call with the fault `late` is applied. */
  lateMs: number;
  /** Drops all keys that were granted by calls. */
  readonly dropKeys: () => void;
  /**
   * Delay, in milliseconds, from the call, or from the heartbeat whose response
   * withdraws keys, until the stand-in reports them as released: in the
   * response to the call, or in the next heartbeat after the delay. It refuses
   * new requests for them at once.
   */
  releaseDelayMs: number;
  /** Delay before it applies the response to a heartbeat. */
  answerReadDelayMs: number;
  /** Stops heartbeats; requests are still served. */
  readonly stopHeartbeats: () => void;
  /**
   * Stops heartbeats and closes all connections and the port, as a crash does.
   */
  readonly crash: () => void;
}

const SIGNATURE = 'signed';

/**
 * Starts an instance stand-in, which sends heartbeats and runs requests. It
 * receives keys in heartbeat responses or by calls. With `keyed`, it refuses
 * requests without a key that it holds.
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
  /** Withdrawn ranges, and the time until which it still works on them. */
  let leaving: {readonly row: HeldRow; readonly until: number}[] = [];
  let sequence = 0;
  let running = 0;
  let lastState: 'ready' | 'draining' = 'ready';

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
      sendHeartbeat: state => sendHeartbeat(state),
      sendDeparture: () =>
        callControl(control, 'DELETE', id, {born}).then(r => r.status),
      stopHeartbeats: () => clearInterval(timer),
      crash: () => {
        clearInterval(timer);
        server.closeAllConnections();
        server.close();
        standin.onCrash?.();
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
    const path = request.url ?? '';
    const run: Run = {id: requestId, key, path, at: Date.now(), bodyBytes: 0};
    runs.push(run);
    request.on('data', (part: Buffer) => (run.bodyBytes += part.length));
    const finish = setTimeout(() => {
      if (standin.isDeadly?.(path)) return standin.crash();
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
  await listen(server, options.port ?? 0, options.host);
  const bound = server.address() as AddressInfo;
  standin.address = `${bound.address}:${bound.port}`;

  const sendHeartbeat = async (state = lastState) => {
    lastState = state;
    sequence += 1;
    const sentAt = Date.now();
    const releasedRows = leaving.filter(({until}) => until <= sentAt);
    leaving = leaving.filter(({until}) => until > sentAt);
    for (const {row} of releasedRows) {
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
    const isKept = (row: HeldRow) =>
      holds.some(([from, to]) => from <= row[0] && row[1] <= to);
    for (const row of getHeldRows()) {
      if (isKept(row)) continue;
      const until = sentAt + standin.releaseDelayMs;
      leaving.push({row, until});
    }
    held = holds.map(([from, to, fence]) => [from, to, fence]);
    heldUntil = sentAt + (holdS ?? 0) * 1000;
    return answer.status;
  };
  const timer = setInterval(() => {
    // The next heartbeat retries a daemon that is unreachable.
    sendHeartbeat().catch(() => {});
  }, options.heartbeatIntervalMs);
  return standin;
}

/** Request body of a call that grants or releases keys. */
interface WireCall {
  readonly from: number;
  readonly target_version: number;
  readonly fence: number;
  readonly hold_s?: number;
  readonly handover?: string;
}

/**
 * Creates the state of keys granted by calls, and the handler of such calls.
 */
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
 * Writes the same text repeatedly until the peer closes the connection.
 *
 * @param onWrite Called with the length of each text before it is written.
 *
 * @example
 * writeUntilClosed(response, part, length => (written += length));
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
