import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {
  EMPTY_VIEW,
  type FleetView,
  type Member,
} from '../../src/fleet/index.js';
import {
  addressOf,
  fingerprintOf,
  parseQuarantineMessage,
  type RequestContent,
} from '../../src/quarantine/index.js';
import {createFleetQuarantine} from '../../src/sidecar/quarantine.js';
import type {ObjectStore} from '../../src/store/index.js';
import type {ResponseHandler, Transport} from '../../src/upstream/index.js';
import {waitUntil} from './fixture.js';

const CONTENT: RequestContent = {
  method: 'GET',
  host: 'a.example',
  target: '/view/7',
  hasBody: false,
  bodyDigest: () => '',
};

const END = {
  id: 'i-0',
  born: 1000,
  service: 'stock',
  requests: [
    {
      fingerprint: fingerprintOf(CONTENT),
      address: addressOf(CONTENT),
      isAlone: false,
    },
  ],
};

/** Time within which all daemons know of an end, in milliseconds. */
const REACH_MS = 3000;

/** Time for messages beyond those that reach each daemon first. */
const FURTHER_MESSAGES_MS = 300;

/** Creates daemons that reach each other unless they are down. */
function createFleet(count: number, isDown: (node: string) => boolean) {
  const nodes = Array.from({length: count}, (_, i) => `10.0.0.${i}:7620`);
  const sent = new Map<string, number>();
  const members: FleetView['members'] = new Map(
    nodes.map(node => [node, {value: {node} as Member, version: 1}]),
  );
  const daemons = new Map(
    nodes.map(node => {
      const poolOf = (peer: string): Transport => ({
        dispatch: ({body}, handler: ResponseHandler) => {
          sent.set(node, (sent.get(node) ?? 0) + 1);
          setImmediate(() => {
            if (isDown(peer)) {
              handler.onError?.(new Error('connect ECONNREFUSED'));
              return;
            }
            const message = parseQuarantineMessage(body as string);
            if (message) daemons.get(peer)?.receive(message);
            handler.onHeaders?.(204, [], () => {}, '');
            handler.onComplete?.([]);
          });
          return true;
        },
      });
      const daemon = createFleetQuarantine({
        node,
        clock: () => performance.now(),
        store: {} as ObjectStore,
        view: () => ({...EMPTY_VIEW, members}),
        observeChange: () => {},
        log: () => {},
        poolOf,
        runInBackground: task => void task,
      });
      return [node, daemon] as const;
    }),
  );
  return {nodes, daemons, sent};
}

for (const [count, limit] of [
  [18, 17],
  [1200, 70],
] as const) {
  test(`the end of an instance reaches ${count} daemons, and each sends at most ${limit} messages`, async t => {
    const {nodes, daemons, sent} = createFleet(count, () => false);
    const endedAt = performance.now();
    daemons.get(nodes[0])?.quarantine.recordEnd(END);
    await waitUntil(() =>
      [...daemons.values()].every(
        ({quarantine}) => quarantine.verdict(CONTENT).kind === 'run-alone',
      ),
    );
    t.true(performance.now() - endedAt < REACH_MS);
    await sleep(FURTHER_MESSAGES_MS);
    t.true(Math.max(...sent.values()) <= limit);
  });
}

test('daemons behind one that cannot be reached get the message', async t => {
  const down = new Set(['10.0.0.1:7620', '10.0.0.2:7620', '10.0.0.40:7620']);
  const {nodes, daemons} = createFleet(80, node => down.has(node));
  const endedAt = performance.now();
  daemons.get(nodes[0])?.quarantine.recordEnd(END);
  const kindAt = (node: string) =>
    daemons.get(node)?.quarantine.verdict(CONTENT).kind;
  await waitUntil(() =>
    nodes.every(node => down.has(node) || kindAt(node) === 'run-alone'),
  );
  t.true(performance.now() - endedAt < REACH_MS);
  await sleep(FURTHER_MESSAGES_MS);
  for (const node of down) t.is(kindAt(node), 'run', node);
});

test('how often a request was answered is told with the end, and weighs at each daemon', async t => {
  const {nodes, daemons} = createFleet(80, () => false);
  const quarantines = [...daemons.values()].map(({quarantine}) => quarantine);
  for (let i = 0; i < 3; i++) quarantines[0].recordAnswer(CONTENT, false);
  const kinds = () => new Set(quarantines.map(q => q.verdict(CONTENT).kind));
  for (let ends = 1; ends <= 6; ends++) {
    const isAlone = ends > 1;
    const requests = END.requests.map(request => ({...request, isAlone}));
    const end = {...END, born: ends, requests};
    daemons.get(nodes[ends - 1])?.quarantine.recordEnd(end);
    await waitUntil(() => quarantines.every(q => q.endCount(CONTENT) === ends));
    t.deepEqual([...kinds()], [ends < 6 ? 'run-alone' : 'refuse']);
  }
});
