/**
 * Tests that block the event loop of their process, one after the other: other
 * tests in it would see daemons that are behind.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import {
  createStop,
  type Attempt,
  type RequestState,
} from '../../src/gateway/index.js';
import {parseAddress} from '../../src/model/index.js';
import {
  PEER_CONNECTIONS,
  UNKNOWN_LOAD,
  createRouteDurations,
  forward,
  type Flow,
  type ForwardContext,
  type Work,
} from '../../src/relay/index.js';
import {createPools} from '../../src/upstream/index.js';
import {sendRequest, startFleet} from './fixture.js';
import {startPeer} from './peer.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Time within which the daemons of a test see a registration. */
const PROPAGATION_MS = 200;

/** Blocks the event loop of this process. */
function blockEventLoop(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

test.serial(
  'a daemon whose own loop stood still takes no other for lost',
  async t => {
    const fleet = await startFleet(['stock']);
    t.teardown(fleet.close);
    const behaviour = {probeDelayMs: 150, requestDelayMs: 1250};
    const peer = await startPeer(fleet.store, 'desk', behaviour);
    t.teardown(peer.close);
    await pause(PROPAGATION_MS);
    const answer = sendRequest(fleet.pairs[0].callers, 'POST', '/book/x');
    // The probe has been sent by then, and is answered while the event loop is
    // blocked.
    await pause(470);
    // After the check phase the event loop runs timers before it reads sockets.
    setImmediate(blockEventLoop, 700);
    t.is((await answer).status, 200);
  },
);

/**
 * Forwards an idempotent request to a daemon that is considered unreachable.
 */
async function forwardToUnreachable(node: string): Promise<Attempt> {
  const pools = createPools({connectTimeoutMs: 300, keepAliveMs: 1000});
  const clock = () => performance.now();
  const state: RequestState = {mayHaveRun: false, isBodyConsumed: false};
  const at = clock();
  const context: ForwardContext = {
    clock,
    peerPools: pools,
    peerTransport: peer => pools.get(parseAddress(peer), PEER_CONNECTIONS),
    loads: () => UNKNOWN_LOAD,
    observeLoad: () => {},
    observeClock: () => {},
    durations: createRouteDurations(() => performance.now()),
    recordAnswer: () => {},
    clockAheadMs: () => undefined,
    probe: () => {},
    // It becomes unreachable while the event loop is blocked.
    peerStatus: () => ({
      liveness: clock() - at < 300 ? 'alive' : 'unreachable',
      quietMs: clock() - at,
      failingMs: 0,
    }),
    loopDelayMs: () => 0,
    log: () => {},
  };
  const work: Work = {
    id: 'r1',
    service: 'desk',
    instance: 'i-1',
    route: 'view',
    repetition: 'idempotent',
    priority: 1,
    callerService: 'desk',
    deadlineAt: at + 5000,
    objectiveAt: at + 2000,
    method: 'GET',
    host: 'a.example',
    target: '/view/x',
    headers: ['Host', 'a.example'],
    body: {kind: 'none'},
  };
  const request = {complete: true};
  const response = {
    writeHead: () => {},
    write: () => true,
    end: () => {},
    once: () => {},
    off: () => {},
  };
  const stop = createStop(state);
  const course = {bodyMs: 0};
  const flow = {request, response, state, bodyMode: 'none', stop, course};
  const attempt = await forward(
    context,
    flow as unknown as Flow,
    node,
    work,
    () => true,
  );
  await pools.close();
  return attempt;
}

test.serial(
  'a request whose response waits for the blocked event loop is not broken off',
  async t => {
    const fleet = await startFleet(['stock']);
    t.teardown(fleet.close);
    const peer = await startPeer(fleet.store, 'desk', {requestDelayMs: 250});
    t.teardown(peer.close);
    const forwarded = forwardToUnreachable(peer.node);
    await pause(150);
    // After the check phase the event loop runs timers before it reads sockets.
    setImmediate(blockEventLoop, 450);
    t.is((await forwarded).kind, 'answered');
  },
);

/** A request that another daemon forwards, and what came of it. */
interface ForwardedResult {
  /** Why the daemon did not run it; missing if it did. */
  readonly outcome?: string;
  readonly reason?: string;
}

/** Time for which the event loop of the receiver is blocked, in milliseconds. */
const BLOCKED_MS = 700;

/**
 * Source of a worker that forwards requests like a daemon, to one whose clock it
 * has learned: the first as soon as it starts, the second 100 ms after a message.
 */
const FORWARDING_SOURCE = `
const http = require('node:http');
const {once} = require('node:events');
const {parentPort, workerData} = require('node:worker_threads');
const {host, port, instance} = workerData;
let clockAheadMs = NaN;
const forward = (id, leftMs, closeMs) => new Promise(resolve => {
  const hop = [id, 'desk', instance, 'book', 'once', 1, leftMs, leftMs, null, 'stock'];
  const headers = {
    Host: 'a.example',
    'X-Vanillaspool-Request-Id': id,
    'vanillaspool-hop': JSON.stringify(hop),
  };
  const sentAt = performance.now();
  if (!Number.isNaN(clockAheadMs))
    headers['vanillaspool-sent-at'] = Math.round(sentAt + clockAheadMs);
  const path = '/book/x';
  const request = http.request({host, port, method: 'POST', path, headers}, response => {
    const load = response.headers['vanillaspool-load'] ?? '';
    clockAheadMs = Number(load.split(',')[5]) - sentAt;
    response.resume();
    const outcome = response.headers['vanillaspool-outcome'];
    const reason = response.headers['vanillaspool-reason'];
    response.on('end', () => resolve({outcome, reason}));
  });
  request.on('error', () => resolve({outcome: 'unknown'}));
  request.end();
  if (closeMs) setTimeout(() => request.destroy(), closeMs);
});
(async () => {
  parentPort.postMessage(await forward('r1', 8000));
  const [{leftMs, closeMs}] = await once(parentPort, 'message');
  await new Promise(resolve => setTimeout(resolve, 100));
  parentPort.postMessage(await forward('r2', leftMs, closeMs));
})();
`;

/** How long the sender of a request waits for its answer. */
interface SenderTimeouts {
  readonly leftMs: number;
  /** Time after which it closes its connection. */
  readonly closeMs?: number;
}

/**
 * Forwards a request to a daemon whose event loop is blocked, and returns what
 * came of it and which requests the instance ran.
 */
async function forwardWhileBlocked(
  t: ExecutionContext,
  timeouts: SenderTimeouts,
) {
  const fleet = await startFleet(['desk', 'stock']);
  t.teardown(fleet.close);
  const [{node, instance}] = fleet.pairs;
  const {host, port} = parseAddress(node);
  const workerData = {host, port, instance: 'i-desk-0'};
  const worker = new Worker(FORWARDING_SOURCE, {eval: true, workerData});
  t.teardown(() => worker.terminate());
  const nextResult = async () =>
    ((await once(worker, 'message')) as [ForwardedResult])[0];
  t.is((await nextResult()).outcome, undefined);
  worker.postMessage(timeouts);
  const forwarded = nextResult();
  setImmediate(blockEventLoop, BLOCKED_MS);
  const result = await forwarded;
  await pause(PROPAGATION_MS);
  return {result, runs: instance.runs.map(({id}) => id)};
}

test.serial(
  'a forwarded request that is read after its deadline is refused as not run',
  async t => {
    const timeouts = {leftMs: BLOCKED_MS / 4};
    const {result, runs} = await forwardWhileBlocked(t, timeouts);
    t.deepEqual(result, {outcome: 'not-run', reason: 'deadline'});
    t.deepEqual(runs, ['r1']);
  },
);

test.serial(
  'a forwarded request whose sender has gone before it is read is not run',
  async t => {
    const timeouts = {leftMs: 8000, closeMs: BLOCKED_MS / 4};
    const {runs} = await forwardWhileBlocked(t, timeouts);
    t.deepEqual(runs, ['r1']);
  },
);
