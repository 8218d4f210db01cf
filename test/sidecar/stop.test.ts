import test, {type ExecutionContext} from 'ava';
import http from 'node:http';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  HOP_HEADER,
  LOAD_HEADER,
  failureHeaders,
  formatHop,
} from '../../src/relay/index.js';
import {unknownOutcome} from '../../src/model/index.js';
import {SIDECAR_METRICS} from '../../src/sidecar/index.js';
import type {Metrics} from '../../src/telemetry/index.js';
import {
  configuration,
  sendRequest,
  startFleet,
  waitUntil,
  type Pair,
} from './fixture.js';

const OUTCOME_HEADER = failureHeaders(unknownOutcome('draining', ''), false)[0];

/** Time limit of callers, longer than any shutdown in these tests. */
const CALLER_TIMEOUT_MS = 8000;

/** More than the socket buffers of a connection hold. */
const UPLOAD_BYTES = 10_000_000;

const HOP = formatHop({
  id: 'r1',
  service: 'desk',
  instance: 'i-desk-0',
  route: 'book',
  repetition: 'once',
  priority: 1,
  leftMs: CALLER_TIMEOUT_MS,
  objectiveLeftMs: CALLER_TIMEOUT_MS,
  callerService: 'desk',
});

/** Starts a fleet in which requests to `desk` have long time limits. */
async function startFleetWithLongTimeouts(
  services: readonly string[],
  graceS: number,
  repetition = 'non_idempotent',
) {
  const fleet = await startFleet(services, {graceS});
  const changed = configuration(2) as {routes: {rows: unknown[][]}};
  const [, book] = changed.routes.rows;
  book[3] = repetition;
  [book[4], book[5]] = [CALLER_TIMEOUT_MS / 1000, CALLER_TIMEOUT_MS / 2000];
  fleet.store.write('config', 'main', changed);
  const isInForce = ({events}: Pair) =>
    events.some(([, fields]) => fields.version === 2);
  await waitUntil(() => fleet.pairs.every(isInForce));
  return fleet;
}

/** Beginning of the ids of requests whose responses are held back. */
const HELD = 'held';

/** The responses that instances hold back. */
interface HeldResponses {
  readonly count: () => number;
  /** Sends them, and all later ones at once. */
  readonly release: () => void;
}

/** Holds back the responses of instances to requests by their ids. */
function holdResponses(pairs: readonly Pair[]): HeldResponses {
  const held: http.ServerResponse[] = [];
  let isReleased = false;
  for (const {instance} of pairs) {
    instance.replaceAnswer = (response, id) => {
      if (isReleased || !id.startsWith(HELD)) return false;
      held.push(response);
      return true;
    };
  }
  return {
    count: () => held.length,
    release: () => {
      isReleased = true;
      for (const response of held.splice(0)) {
        response.setHeader('X-Vanillaspool-Response-Signature', 'signed');
        response.end('late');
      }
    },
  };
}

/**
 * Starts a fleet with long time limits that holds back responses, and returns
 * its first pair.
 */
async function startHoldingPair(
  t: ExecutionContext,
  services: readonly string[],
  graceS: number,
) {
  const fleet = await startFleetWithLongTimeouts(services, graceS);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  const responses = holdResponses(fleet.pairs);
  t.teardown(responses.release);
  /** Sends requests that are held back, each when an instance runs the last. */
  const hold = async (count: number) => {
    const running: Promise<Result>[] = [];
    while (running.length < count) {
      const before = responses.count();
      const hasBegun = () => responses.count() > before;
      running.push((await sendUntilRun(pair, HELD, hasBegun)).result);
    }
    return running;
  };
  return {pair, hold, release: responses.release};
}

interface Result {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly timeMs: number;
  /** Message of the error that ended the connection. */
  readonly error?: string;
}

let lastId = 0;

/** Sends a request with an id that begins with a word. */
function sendTestRequest(
  address: string,
  word: string,
  timeoutMs = CALLER_TIMEOUT_MS,
  more: Readonly<Record<string, string>> = {},
): Promise<Result> {
  const [host, port] = address.split(':');
  const sentAt = performance.now();
  const headers = {
    Host: 'a.example',
    'X-Vanillaspool-Request-Id': `${word}-${++lastId}`,
    'X-Vanillaspool-Request-Deadline': String(timeoutMs),
    ...more,
  };
  const agent = new http.Agent({keepAlive: true});
  return new Promise(resolve => {
    const end = (part: Partial<Result>) => {
      const timeMs = performance.now() - sentAt;
      resolve({status: 0, headers: {}, timeMs, ...part});
      agent.destroy();
    };
    const request = http.request(
      {host, port, path: '/book/x', method: 'POST', headers, agent},
      response => {
        const {statusCode: status, headers: responseHeaders} = response;
        response.resume();
        response.on('error', ({message}) => end({error: message}));
        response.on('end', () => end({status, headers: responseHeaders}));
      },
    );
    request.on('error', ({message}) => end({error: message}));
    request.end();
  });
}

/** Most times that a test sends a request that is refused. */
const MAX_ATTEMPTS = 20;

/**
 * Sends a request until it has begun to run: a process that is behind may
 * refuse it.
 */
async function sendUntilRun(
  {callers}: Pair,
  word: string,
  hasBegun: () => boolean,
): Promise<{readonly result: Promise<Result>}> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const result = sendTestRequest(callers, word);
    let isRefused = false;
    void result.then(() => (isRefused = true));
    await waitUntil(() => isRefused || hasBegun());
    if (!isRefused) return {result};
  }
  throw new Error(`${MAX_ATTEMPTS} requests were refused`);
}

/**
 * Uploads like a caller that reads no response before it has sent its whole
 * body.
 */
function uploadBeforeReading(address: string) {
  const [host, port] = address.split(':');
  const caller = net.connect(Number(port), host);
  let received = '';
  const head = [
    'POST /book/x HTTP/1.1',
    'Host: a.example',
    `X-Vanillaspool-Request-Deadline: ${CALLER_TIMEOUT_MS}`,
    `Content-Length: ${UPLOAD_BYTES}`,
  ].join('\r\n');
  caller.write(`${head}\r\n\r\n`);
  caller.write(Buffer.alloc(UPLOAD_BYTES), () => {
    caller.on('data', part => (received += part.toString()));
  });
  return new Promise<{error?: string; received: string}>(resolve => {
    caller.on('error', ({message}) => resolve({error: message, received}));
    caller.on('end', () => resolve({received}));
  });
}

/** Returns how many requests run or wait for a slot at the instance of a pair. */
function busyOf({sidecar}: Pair): number {
  const gauges = new Map<unknown, number>();
  const gauge = (definition: unknown) => (value: number) =>
    void gauges.set(definition, value);
  sidecar.updateGauges({gauge} as unknown as Metrics);
  return gauges.get(SIDECAR_METRICS.instanceBusy) ?? 0;
}

/** Time from a shutdown after which requests with much time are refused. */
const REFUSING_MS = 3200;

test('a request late in a shutdown is refused at once instead of being cut off', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk', 'desk'], 6);
  const [first] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(REFUSING_MS);
  const late = await sendTestRequest(pair.callers, HELD);
  release();
  await stopped;
  t.is((await first).status, 200);
  t.is(late.error, undefined);
  t.is(late.status, 503);
  t.is(late.headers['retry-after'], '0.2');
  t.true(late.timeMs < 500);
});

test('an upload that is refused late in a stop gets its answer', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk'], 6);
  const [first] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(REFUSING_MS);
  const {error, received} = await uploadBeforeReading(pair.callers);
  t.is(error, undefined);
  t.regex(received, /^HTTP\/1.1 503 /);
  release();
  await stopped;
  t.is((await first).status, 200);
});

test('what waits for a slot when no time is left to run it is refused, not cut', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk'], 4);
  const running = await hold(4);
  const waiting = [1, 2].map(() => sendTestRequest(pair.callers, HELD));
  await waitUntil(() => busyOf(pair) === 6);
  const stopped = pair.sidecar.shutDown();
  const refused = await Promise.all(waiting);
  release();
  await stopped;
  for (const {status} of await Promise.all(running)) t.is(status, 200);
  for (const {status, error} of refused) {
    t.is(error, undefined);
    t.is(status, 503);
  }
});

test('a request that still runs at the end of a shutdown is answered, not cut off', async t => {
  const {pair, hold} = await startHoldingPair(t, ['desk'], 4);
  const [result] = await hold(1);
  await pair.sidecar.shutDown();
  const {status, error} = await result;
  t.is(error, undefined);
  t.is(status, 502);
});

/** Beginning of the ids of requests that run for long. */
const SLOW = 'slow';

/** Run time of these, longer than the time that a shutdown always reserves. */
const SLOW_RUN_MS = 2500;

/** Slots of an instance. */
const SLOTS = 4;

/**
 * Starts a daemon of `desk` and one of `stock`, which sends it requests. The
 * instance of `desk` has run some requests that take long.
 */
async function startSlowPair(t: ExecutionContext, graceS: number) {
  const fleet = await startFleetWithLongTimeouts(['desk', 'stock'], graceS);
  t.teardown(fleet.close);
  const [pair, sender] = fleet.pairs;
  let begun = 0;
  pair.instance.replaceAnswer = (response, id) => {
    if (!id.startsWith(SLOW)) return false;
    begun += 1;
    setTimeout(() => {
      response.setHeader('X-Vanillaspool-Response-Signature', 'signed');
      response.end('slow');
    }, SLOW_RUN_MS);
    return true;
  };
  /** Sends requests, each when the instance runs the last. */
  const runSlowly = async (count: number) => {
    const running: Promise<Result>[] = [];
    while (running.length < count) {
      const before = begun;
      const hasBegun = () => begun > before;
      running.push((await sendUntilRun(sender, SLOW, hasBegun)).result);
    }
    return running;
  };
  const earlier = await Promise.all(await runSlowly(SLOTS));
  for (const {status} of earlier) t.is(status, 200);
  return {pair, sender, runSlowly, begun: () => begun};
}

test('a stopping daemon does not begin a request that waited for a slot and would be broken off', async t => {
  const {pair, sender, runSlowly, begun} = await startSlowPair(t, 6);
  const stopped = pair.sidecar.shutDown();
  await sleep(1000);
  const running = await runSlowly(SLOTS);
  await sleep(1000);
  const begunBefore = begun();
  const {status, headers, error} = await sendTestRequest(sender.callers, SLOW);
  t.is(error, undefined);
  t.is(status, 503);
  t.true(Number(headers['retry-after']) > 0);
  for (const answered of running) t.is((await answered).status, 200);
  await stopped;
  t.is(begun(), begunBefore);
});

test('a stopping daemon refuses a request at once whose run would be broken off', async t => {
  const {pair, sender, begun} = await startSlowPair(t, 4);
  const begunBefore = begun();
  const stopped = pair.sidecar.shutDown();
  await sleep(1500);
  const {callers} = sender;
  const {status, headers, timeMs, error} = await sendTestRequest(callers, SLOW);
  t.is(error, undefined);
  t.is(status, 503);
  t.true(Number(headers['retry-after']) > 0);
  t.true(timeMs < 1000);
  await stopped;
  t.is(begun(), begunBefore);
});

test('a stopping daemon begins what ends in time by the runs of its route', async t => {
  const {pair, runSlowly} = await startSlowPair(t, 6);
  const stopped = pair.sidecar.shutDown();
  await sleep(2000);
  const [answered] = await runSlowly(1);
  t.is((await answered).status, 200);
  await stopped;
});

test('a request that a shutdown interrupts runs at an instance whose daemon refused it before its restart', async t => {
  const services = ['desk', 'desk', 'stock'];
  const fleet = await startFleetWithLongTimeouts(services, 4, 'idempotent');
  t.teardown(fleet.close);
  const [near, far, sender] = fleet.pairs;
  const held = holdResponses([near]);
  t.teardown(held.release);
  const isHeld = () => held.count() > 0;
  const first = await sendUntilRun(near, HELD, isHeld);
  let hasBegun = false;
  far.instance.replaceAnswer = () => (hasBegun = true);
  const restarted = near.restart();
  await sleep(1000);
  const stopped = far.sidecar.shutDown();
  await sleep(1200);
  const interrupted = sendTestRequest(sender.callers, 'again');
  await waitUntil(() => hasBegun);
  held.release();
  const {status, error} = await interrupted;
  t.is(error, undefined);
  t.is(status, 200);
  t.is((await first.result).status, 200);
  await Promise.all([restarted, stopped]);
});

test('a look-up with little time is served until shortly before the end of a stop', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk', 'desk'], 6);
  const [first] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(4300);
  const {status, timeMs} = await sendTestRequest(pair.callers, 'short', 400);
  t.is(status, 200);
  t.true(timeMs < 400);
  release();
  await stopped;
  t.is((await first).status, 200);
});

test('a response late in a shutdown closes its connection, whenever its request arrived', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk'], 4);
  const [result] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(1400);
  release();
  await stopped;
  const {status, headers} = await result;
  t.is(status, 200);
  t.is(headers.connection, 'close');
});

test('a response without a length that a shutdown breaks off is not complete', async t => {
  const fleet = await startFleetWithLongTimeouts(['desk'], 4);
  t.teardown(fleet.close);
  const [pair] = fleet.pairs;
  let hasBegun = false;
  pair.instance.replaceAnswer = response => {
    response.socket?.write(
      'HTTP/1.1 200 OK\r\nX-Vanillaspool-Response-Signature: signed\r\nConnection: close\r\n\r\nbegin',
    );
    hasBegun = true;
    return true;
  };
  const {result} = await sendUntilRun(pair, 'endless', () => hasBegun);
  await pair.sidecar.shutDown();
  t.not((await result).error, undefined);
});

test('a stopping daemon tells other daemons what it refuses and its load', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk'], 6);
  const [first] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(REFUSING_MS);
  const hop = {[HOP_HEADER]: HOP};
  const refused = await sendTestRequest(
    pair.node,
    'short',
    CALLER_TIMEOUT_MS,
    hop,
  );
  t.is(refused.status, 503);
  t.is(refused.headers[OUTCOME_HEADER], 'not-run');
  t.regex(String(refused.headers[LOAD_HEADER]), /^\d+,4,\d+,0,0,\d+$/);
  release();
  await stopped;
  t.is((await first).status, 200);
});

test('a stopping daemon refuses a forwarded upload before its body has arrived', async t => {
  const {pair, hold, release} = await startHoldingPair(t, ['desk'], 6);
  const [first] = await hold(1);
  const stopped = pair.sidecar.shutDown();
  await sleep(REFUSING_MS);
  const [host, port] = pair.node.split(':');
  const daemon = net.connect(Number(port), host);
  let received = '';
  let error: Error | undefined;
  daemon.on('data', part => (received += part.toString()));
  daemon.on('error', known => (error = known));
  daemon.write(
    `POST /book/x HTTP/1.1\r\nHost: a.example\r\n${HOP_HEADER}: ${HOP}\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\nbegin`,
  );
  await sleep(500);
  t.regex(received, /^HTTP\/1.1 503 [^]*not-run/);
  daemon.write(Buffer.alloc(UPLOAD_BYTES / 2));
  await sleep(200);
  t.is(error, undefined);
  daemon.destroy();
  release();
  await stopped;
  t.is((await first).status, 200);
});

/** Time from a shutdown for which daemons accept each request. */
const ACCEPTING_MS = 2000;

test('a service whose daemons all stop is served until they refuse requests', async t => {
  const fleet = await startFleet(['desk', 'desk', 'stock'], {graceS: 6});
  t.teardown(fleet.close);
  const stopping = fleet.pairs.slice(0, 2);
  const until = Date.now() + ACCEPTING_MS;
  const stopped = stopping.map(({sidecar}) => sidecar.shutDown());
  const isRegistered = ({node}: Pair) => {
    const member = fleet.store.read('fleet', `member.${node}`);
    return (member as {stopping?: boolean}).stopping === true;
  };
  await waitUntil(() => stopping.every(isRegistered));
  const statuses: number[] = [];
  while (Date.now() < until) {
    const answers = await Promise.all(
      fleet.pairs.map(({callers}) => sendRequest(callers, 'POST', '/book/x')),
    );
    statuses.push(...answers.map(({status}) => status));
    await sleep(100);
  }
  t.deepEqual([...new Set(statuses)], [200]);
  await Promise.all(stopped);
  const {callers} = fleet.pairs[2];
  const {status, retryAfter} = await sendRequest(callers, 'POST', '/book/x');
  t.deepEqual([status, Number(retryAfter) > 0], [503, true]);
});
