import {fc, testProp} from '@fast-check/ava';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  callHttp,
  changeOwnership,
  configuration,
  service,
  startFleet,
  startServer,
  type Fleet,
  type HttpAnswer,
} from './fixture.js';

const SEED = {seed: 20261203, numRuns: 200};

/** What the upstream does with one arrival of a request. */
type UpstreamAction =
  | 'answer'
  | 'reset-before'
  | 'reset-after'
  | 'short'
  | 'shed'
  | 'late'
  | 'crossed';

const upstreamAction = fc.constantFrom<UpstreamAction>(
  'answer',
  'answer',
  'reset-before',
  'reset-after',
  'short',
  'shed',
  'late',
  'crossed',
);
const daemon = fc.integer({min: 0, max: 2});
/** One step of a run: a request, a move, a false belief or a pause. */
const step = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('send' as const),
      method: fc.constantFrom('GET' as const, 'POST' as const, 'PUT' as const),
      at: daemon,
      acts: fc.array(upstreamAction, {minLength: 1, maxLength: 3}),
      cancelled: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('move' as const), to: daemon}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('believe' as const),
      order: fc.uniqueArray(daemon, {minLength: 1}),
    }),
  },
  {weight: 1, arbitrary: fc.record({kind: fc.constant('pause' as const)})},
);

/** What the upstreams saw of the requests of a run. */
interface ExecutionRecord {
  /** Executions by the number of the request. */
  readonly executions: Map<string, number>;
  readonly arrivals: Map<string, number>;
}

function upstreamOf(
  index: number,
  record: ExecutionRecord,
  fleet: () => Fleet | undefined,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    const {headers} = request;
    const id = String(headers['x-id']);
    const arrival = record.arrivals.get(id) ?? 0;
    record.arrivals.set(id, arrival + 1);
    const acts = String(headers['x-acts']).split(',') as UpstreamAction[];
    const chosen = acts[Math.min(arrival, acts.length - 1)];
    const execute = () => {
      const before = record.executions.get(id) ?? 0;
      record.executions.set(id, before + 1);
    };
    const terms = fleet()?.ownership;
    const fenced =
      terms?.owner !== `daemon-${index}` ||
      headers['vanillaspool-epoch'] !== String(terms?.epoch);
    request.resume();
    if (fenced) {
      response.writeHead(409, {'vanillaspool-fenced': 'true'}).end();
      return;
    }
    perform(chosen, id, execute, response);
  };
}

function perform(
  chosen: UpstreamAction,
  id: string,
  execute: () => void,
  response: ServerResponse,
): void {
  const headers = {'Content-Length': Buffer.byteLength(id)};
  switch (chosen) {
    case 'reset-before':
      response.socket?.destroy();
      return;
    case 'reset-after':
      execute();
      response.socket?.destroy();
      return;
    case 'short':
      execute();
      response.writeHead(200, {'Content-Length': 100}).write(id);
      setImmediate(() => response.socket?.destroy());
      return;
    case 'shed':
      response
        .writeHead(503, {'vanillaspool-shed': 'true', 'retry-after': '1'})
        .end();
      return;
    case 'late':
      execute();
      setTimeout(() => response.writeHead(200, headers).end(id), 15);
      return;
    case 'crossed':
      execute();
      response.writeHead(200, {'vanillaspool-request': 'other'}).end('other');
      return;
    case 'answer':
      execute();
      response.writeHead(200, headers).end(id);
  }
}

/** A request and what its caller got. */
interface SentRequest {
  readonly id: string;
  readonly method: string;
  readonly answer: HttpAnswer;
}

/** Tells what is wrong with the answer to one request, if anything is. */
function violationOf(
  sent: SentRequest,
  record: ExecutionRecord,
): string | undefined {
  const {id, method, answer} = sent;
  const executions = record.executions.get(id) ?? 0;
  if (method === 'POST' && executions > 1) return 'ran more than once';
  if (answer.kind === 'broken') return undefined;
  const outcome = answer.headers['vanillaspool-outcome'];
  if (outcome === 'not-run' && executions > 0) return 'ran although not-run';
  if (answer.status !== 200) {
    return outcome === undefined ? 'failed without an outcome' : undefined;
  }
  if (outcome !== undefined) return 'succeeded with an outcome';
  if (executions === 0) return 'succeeded without having run';
  return answer.text === id ? undefined : `got the answer ${answer.text}`;
}

/** Waits until no daemon has a request in flight. */
async function untilIdle(fleet: Fleet): Promise<void> {
  while (fleet.daemons.some(one => one.gateway.inFlight() > 0)) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

testProp(
  'every caller gets its own whole answer or a true outcome, and POST runs once',
  [fc.array(step, {minLength: 1, maxLength: 14})],
  async (t, steps) => {
    const record: ExecutionRecord = {
      executions: new Map(),
      arrivals: new Map(),
    };
    const started: {fleet?: Fleet} = {};
    const upstreams = await Promise.all(
      [0, 1, 2].map(i =>
        startServer(upstreamOf(i, record, () => started.fleet)),
      ),
    );
    const fleet = await startFleet({
      configuration: configuration([service({deadlineMs: 400})]),
      upstreams: upstreams.map(upstream => upstream.address),
    });
    started.fleet = fleet;
    const answers: Promise<SentRequest>[] = [];
    for (const [index, taken] of steps.entries()) {
      const id = String(index);
      switch (taken.kind) {
        case 'send': {
          const sent = callHttp(fleet.daemons[taken.at].address, {
            method: taken.method,
            path: '/rota/a',
            headers: {'x-id': id, 'x-acts': taken.acts.join(',')},
            body: taken.method === 'GET' ? undefined : 'body',
            cancelAfterMs: taken.cancelled ? 5 : undefined,
          });
          const {method} = taken;
          answers.push(sent.then(answer => ({id, method, answer})));
          break;
        }
        case 'move':
          changeOwnership(fleet.ownership, {
            owner: `daemon-${taken.to}`,
            epoch: fleet.ownership.epoch + 1,
            assumedOwners: undefined,
          });
          break;
        case 'believe':
          changeOwnership(fleet.ownership, {
            assumedOwners: taken.order.map(i => `daemon-${i}`),
          });
          break;
        case 'pause':
          await new Promise(resolve => setTimeout(resolve, 3));
      }
    }
    const sent = await Promise.all(answers);
    await untilIdle(fleet);
    const faults = sent.map(one => violationOf(one, record)).filter(Boolean);
    await fleet.stop();
    await Promise.all(upstreams.map(upstream => upstream.stop()));
    t.deepEqual(faults, []);
  },
  SEED,
);
