import test, {type ExecutionContext} from 'ava';
import {SERIES_PAUSE_MS} from '../../platform/pace.js';
import {
  SIDECAR_EVENTS,
  STATUS_PATH,
  createFailureDetector,
  probePeer,
  classifyConnectionError,
} from '../../src/sidecar/index.js';
import {
  sendRequest,
  configuration,
  startFleet,
  waitUntil,
  type TestFleet,
} from './fixture.js';
import {startResettingPeer, startPeer, type PeerBehaviour} from './peer.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Time within which the daemons of a test see a registration. */
const PROPAGATION_MS = 200;

/** Time within which all daemons learn of a change that soon follows another one. */
const SERIES_PROPAGATION_MS = SERIES_PAUSE_MS + 100;

test('a request at a daemon that is late is answered, not broken off', async t => {
  const fleet = await startFleet(['stock']);
  t.teardown(fleet.close);
  const late = {probeDelayMs: 900, requestDelayMs: 900};
  const peer = await startPeer(fleet.store, 'desk', late);
  t.teardown(peer.close);
  await pause(PROPAGATION_MS);
  const [{callers}] = fleet.pairs;
  const answers = await Promise.all(
    [1, 2, 3].map(() => sendRequest(callers, 'POST', '/book/x')),
  );
  t.deepEqual(
    answers.map(({status}) => status),
    [200, 200, 200],
  );
});

/** Makes the requests of `desk` idempotent, with a timeout of 3 s. */
function makeIdempotent(known: unknown): unknown {
  const {routes} = known as {routes: {rows: unknown[][]}};
  routes.rows[1].splice(3, 2, 'idempotent', 3);
  return known;
}

test('a request that may be repeated is answered by a daemon that is late', async t => {
  const fleet = await startFleet(['stock']);
  t.teardown(fleet.close);
  const late = {probeDelayMs: 5000, requestDelayMs: 1600};
  const peer = await startPeer(fleet.store, 'desk', late);
  t.teardown(peer.close);
  fleet.store.write('config', 'main', makeIdempotent(configuration(2)));
  await pause(PROPAGATION_MS);
  const [{callers}] = fleet.pairs;
  t.is((await sendRequest(callers, 'GET', '/book/x')).status, 200);
});

for (const [kind, send] of [
  ['runs once', 'POST'],
  ['may be repeated', 'GET'],
] as const) {
  // Guards against a request that is given up for refusals of the process before
  // the one that has read it (LOST).
  test(`a request that ${kind} is answered by a daemon that starts again and is late`, async t => {
    const fleet = await startFleet(['stock']);
    t.teardown(fleet.close);
    if (send === 'GET')
      fleet.store.write('config', 'main', makeIdempotent(configuration(2)));
    const ended = await startPeer(fleet.store, 'desk', {});
    await pause(PROPAGATION_MS);
    await ended.close();
    const [{callers}] = fleet.pairs;
    // Its port refuses connections, which is noticed by probes.
    for (let request = 0; request < 6; request++) {
      t.not((await sendRequest(callers, send, '/book/x')).status, 200);
      await pause(50);
    }
    const port = Number(ended.node.split(':')[1]);
    const late = {port, probeDelayMs: 5000, requestDelayMs: 900};
    const peer = await startPeer(fleet.store, 'desk', late);
    t.teardown(peer.close);
    const {status} = await sendRequest(callers, send, '/book/x');
    t.is(status, 200);
  });
}

/** Assigns the upper half of the keys of `stock` to a peer. */
function shareKeys(fleet: TestFleet, peer: {node: string; id: string}): void {
  const map = fleet.store.read('fleet', 'ranges.stock') as {
    fence: number;
    terms: {from: number; to: number}[];
  };
  const last = map.terms[map.terms.length - 1];
  const middle = (last.from + last.to) >> 1;
  const fence = map.fence + 1;
  const holder = {node: peer.node, id: peer.id, born: 7};
  const term = {from: middle + 1, to: last.to, fence, holder};
  fleet.store.write('fleet', 'ranges.stock', {
    ...map,
    fence,
    terms: [
      ...map.terms.slice(0, -1),
      {...last, to: middle},
      {...term, state: 'held', handover: ''},
    ],
  });
}

/** Timeout of the requests for keys in the tests below, in seconds. */
const KEYED_TIMEOUT_S = 5;

/** Starts a fleet whose keys are shared with a peer, by a route that is patient. */
async function startFleetWithPeer(
  t: ExecutionContext,
  behaviour: PeerBehaviour,
): Promise<TestFleet> {
  const fleet = await startFleet(['stock']);
  t.teardown(fleet.close);
  const peer = await startPeer(fleet.store, 'stock', behaviour);
  t.teardown(peer.close);
  const patient = configuration(2) as {routes: {rows: unknown[][]}};
  patient.routes.rows[0][4] = KEYED_TIMEOUT_S;
  fleet.store.write('config', 'main', patient);
  shareKeys(fleet, peer);
  await pause(PROPAGATION_MS);
  return fleet;
}

/** Requests a key that the peer holds. */
const requestPeerKey = ({pairs: [{callers}]}: TestFleet) =>
  sendRequest(
    callers,
    'GET',
    '/view/x',
    65_535,
    undefined,
    KEYED_TIMEOUT_S * 1000,
  );

/** Time in which two probes without an answer show a daemon as unresponsive. */
const SILENCE_MS = 3300;

/** Slower than the two probes that find a daemon unresponsive. */
const SLOW = {probeDelayMs: 5000, requestDelayMs: 3000};

test('a request for a key is answered by a daemon that is slower than its probes', async t => {
  const fleet = await startFleetWithPeer(t, SLOW);
  t.is((await requestPeerKey(fleet)).status, 200);
});

// Guards against a failure in place of the answer of a running request (LOST).
test('a daemon that shuts down does not break off a request for the silence of the holder', async t => {
  const fleet = await startFleetWithPeer(t, SLOW);
  const answer = requestPeerKey(fleet);
  await pause(PROPAGATION_MS);
  const stopped = fleet.pairs[0].sidecar.shutDown();
  t.is((await answer).status, 200);
  await stopped;
});

/** Timeout of the requests without keys in the tests below, in seconds. */
const DESK_TIMEOUT_S = 9;

/** Starts a fleet without an instance of `desk` but a peer, and a patient route. */
async function startFleetWithDesk(
  t: ExecutionContext,
  behaviour: PeerBehaviour,
): Promise<TestFleet> {
  const fleet = await startFleet(['stock']);
  t.teardown(fleet.close);
  const peer = await startPeer(fleet.store, 'desk', behaviour);
  t.teardown(peer.close);
  const patient = configuration(2) as {routes: {rows: unknown[][]}};
  patient.routes.rows[1].splice(3, 2, 'idempotent', DESK_TIMEOUT_S);
  fleet.store.write('config', 'main', patient);
  await pause(PROPAGATION_MS);
  return fleet;
}

const requestDesk = ({pairs: [{callers}]}: TestFleet) =>
  sendRequest(
    callers,
    'GET',
    '/book/x',
    undefined,
    undefined,
    DESK_TIMEOUT_S * 1000,
  );

// Guards against a failure in place of the answer of a running request (LOST).
test('a running request is answered by a daemon that answers no probe for as long', async t => {
  const silent = {probeDelayMs: 20_000, requestDelayMs: 7000};
  const fleet = await startFleetWithDesk(t, silent);
  t.is((await requestDesk(fleet)).status, 200);
});

// Guards against a running request that is broken off for an instance that then
// refuses it (LOST).
test('a running request is answered though the only other instance would refuse it', async t => {
  const silent = {probeDelayMs: 20_000, requestDelayMs: 6000};
  const fleet = await startFleetWithDesk(t, silent);
  const answer = requestDesk(fleet);
  await pause(500);
  // It joins while the request runs, and has no free slot.
  const full = await startPeer(fleet.store, 'desk', {
    headers: {
      'vanillaspool-outcome': 'not-run',
      'vanillaspool-reason': 'overloaded',
      'vanillaspool-retry-ms': '300',
      'vanillaspool-load': '9,4,400',
    },
  });
  t.teardown(full.close);
  const {node} = full;
  fleet.store.write('fleet', `member.${node}`, {
    ...{node, domain: 'zone-0', service: 'desk', id: 'i-desk-full'},
    ...{born: 7, slots: 4, state: 'ready'},
  });
  t.is((await answer).status, 200);
});

test('a request at a holder that goes dark is answered by the next holder of its key', async t => {
  const fleet = await startFleetWithPeer(t, {isUnresponsive: true});
  const [pair] = fleet.pairs;
  const answer = requestPeerKey(fleet);
  await pause(PROPAGATION_MS);
  // The planner gives the key to the other instance.
  const map = fleet.store.read('fleet', 'ranges.stock') as {
    fence: number;
    terms: {holder: unknown; fence: number}[];
  };
  const [{holder}] = map.terms;
  const fence = map.fence + 1;
  const terms = map.terms.map(term => ({...term, holder, fence}));
  await pause(SILENCE_MS);
  fleet.store.write('fleet', 'ranges.stock', {...map, fence, terms});
  t.is((await answer).status, 200);
  t.true(pair.instance.runs.length > 0);
});

test('requests are not given up for a retry that one of them gets', async t => {
  const fleet = await startFleet(['stock', 'desk']);
  t.teardown(fleet.close);
  const late = {probeDelayMs: 8000, requestDelayMs: 3500};
  const peer = await startPeer(fleet.store, 'desk', late);
  t.teardown(peer.close);
  const patient = configuration(2) as {routes: {rows: unknown[][]}};
  patient.routes.rows[1].splice(3, 2, 'idempotent', 6);
  fleet.store.write('config', 'main', patient);
  await pause(PROPAGATION_MS);
  const [{callers}] = fleet.pairs;
  const send = () =>
    sendRequest(callers, 'GET', '/book/x', undefined, undefined, 6000);
  const answers = await Promise.all(Array.from({length: 60}, send));
  t.false(answers.some(({status}) => status === 502));
});

const isDeclaredLost = (fleet: TestFleet, upstream: string) =>
  fleet.pairs.some(({events}) =>
    events.some(
      ([kind, fields]) =>
        kind === SIDECAR_EVENTS.memberLost && fields.upstream === upstream,
    ),
  );

test('a holder whose daemon answers late keeps its keys', async t => {
  const fleet = await startFleet(['stock', 'stock']);
  t.teardown(fleet.close);
  const peer = await startPeer(fleet.store, 'stock', {probeDelayMs: 600});
  t.teardown(peer.close);
  await pause(PROPAGATION_MS);
  shareKeys(fleet, peer);
  await pause(7000);
  t.false(isDeclaredLost(fleet, peer.id));
});

for (const behaviour of [{}, {isUnreachable: true}, {isUnresponsive: true}]) {
  const name = Object.keys(behaviour)[0] ?? 'gone';
  test(`a holder whose daemon is lost loses its keys: ${name}`, async t => {
    const fleet = await startFleet(['stock', 'stock']);
    t.teardown(fleet.close);
    const peer = await startPeer(fleet.store, 'stock', behaviour);
    t.teardown(peer.close);
    await pause(PROPAGATION_MS);
    shareKeys(fleet, peer);
    if (name === 'gone') await peer.close();
    await waitUntil(() => isDeclaredLost(fleet, peer.id));
    t.pass();
  });
}

for (const behaviour of [{}, {isUnreachable: true}, {isUnresponsive: true}]) {
  const name = Object.keys(behaviour)[0] ?? 'gone';
  test(`requests soon pass a lost daemon by: ${name}`, async t => {
    const fleet = await startFleet(['stock', 'desk']);
    t.teardown(fleet.close);
    const peer = await startPeer(fleet.store, 'desk', behaviour);
    t.teardown(peer.close);
    await pause(PROPAGATION_MS);
    if (name === 'gone') await peer.close();
    const [{callers}] = fleet.pairs;
    const turn = () =>
      Promise.all(
        Array.from({length: 8}, () => sendRequest(callers, 'POST', '/book/x')),
      );
    // Requests sent before the loss is detected may fail.
    await turn();
    await turn();
    const later = await turn();
    t.true(later.every(({status}) => status === 200));
  });
}

test('requests for keys of a lost daemon are refused as not run, in time', async t => {
  const fleet = await startFleet(['stock', 'stock']);
  t.teardown(fleet.close);
  const peer = await startPeer(fleet.store, 'stock', {isUnreachable: true});
  t.teardown(peer.close);
  await pause(PROPAGATION_MS);
  shareKeys(fleet, peer);
  await pause(SERIES_PROPAGATION_MS);
  const [{callers}] = fleet.pairs;
  const answers = await Promise.all(
    [1, 2, 3].map(() => sendRequest(callers, 'GET', '/view/x', 65_535)),
  );
  t.deepEqual(
    answers.map(({status}) => status),
    [503, 503, 503],
  );
});

test('requests for keys of an unresponsive daemon are soon refused as not run', async t => {
  const fleet = await startFleet(['stock', 'stock']);
  t.teardown(fleet.close);
  const peer = await startPeer(fleet.store, 'stock', {isUnresponsive: true});
  t.teardown(peer.close);
  await pause(PROPAGATION_MS);
  shareKeys(fleet, peer);
  await pause(SERIES_PROPAGATION_MS);
  const [{callers}] = fleet.pairs;
  const statuses: number[] = [];
  while (statuses.length < 6 && statuses.at(-1) !== 503) {
    statuses.push(
      (await sendRequest(callers, 'GET', '/view/x', 65_535)).status,
    );
  }
  t.is(statuses.at(-1), 503);
});

test('errors of this machine are not attributed to other machines', t => {
  for (const isConnected of [false, true]) {
    for (const code of ['EMFILE', 'EADDRNOTAVAIL', 'ENOBUFS']) {
      t.true(classifyConnectionError(code, isConnected).isOwn);
    }
  }
  const refused = {kind: 'refused', isOwn: false} as const;
  t.deepEqual(classifyConnectionError('ECONNREFUSED', false), refused);
  const unconnected = {kind: 'unconnected', isOwn: false} as const;
  t.deepEqual(classifyConnectionError('EHOSTUNREACH', false), unconnected);
});

test('an error after the connection was accepted does not prove that the process ended', t => {
  const unanswered = {kind: 'unanswered', isOwn: false} as const;
  for (const code of ['ECONNRESET', 'EPIPE', 'ECONNREFUSED', undefined]) {
    t.deepEqual(classifyConnectionError(code, true), unanswered);
  }
  t.deepEqual(classifyConnectionError('ECONNRESET', false), unanswered);
});

const LIMITS = {connectMs: 300, answerMs: 1000};

for (const cut of ['closed', 'taken', 'answering'] as const) {
  test(`a process that resets a connection is not taken for ended: ${cut}`, async t => {
    const peer = await startResettingPeer(cut);
    t.teardown(peer.close);
    const {outcome} = await probePeer(peer.node, STATUS_PATH, LIMITS);
    t.is(outcome.kind, 'unanswered');
  });
}

for (const [own, liveness] of [
  ['broken', 'alive'],
  ['working', 'unreachable'],
] as const) {
  test(`a machine is dark only if other daemons answer: link ${own}`, async t => {
    const fleet = await startFleet([]);
    t.teardown(fleet.close);
    const unreachable = await startPeer(fleet.store, 'desk', {
      isUnreachable: true,
    });
    t.teardown(unreachable.close);
    // Behind a broken link all other daemons look alike.
    const behaviour = own === 'broken' ? {isUnreachable: true} : {};
    const other = await startPeer(fleet.store, 'desk', behaviour);
    t.teardown(other.close);
    const detector = createFailureDetector('127.0.0.1:1');
    for (let turn = 0; turn < 3; turn++) {
      await detector.probe(unreachable.node, [unreachable.node, other.node]);
    }
    t.is(detector.stateOf(unreachable.node).liveness, liveness);
    t.is(detector.stateOf(other.node).liveness, 'alive');
  });
}

test('a machine is dark if no other daemon is known for comparison', async t => {
  const fleet = await startFleet([]);
  t.teardown(fleet.close);
  const unreachable = await startPeer(fleet.store, 'desk', {
    isUnreachable: true,
  });
  t.teardown(unreachable.close);
  const detector = createFailureDetector('127.0.0.1:1');
  for (let turn = 0; turn < 3; turn++) await detector.probe(unreachable.node);
  t.is(detector.stateOf(unreachable.node).liveness, 'unreachable');
});

// Guards against live daemons behind full links that are taken for lost (LOST).
test('a daemon whose answers arrive after the timeouts of the probes is not lost', async t => {
  const fleet = await startFleet([]);
  t.teardown(fleet.close);
  const late = await startPeer(fleet.store, 'desk', {probeDelayMs: 1500});
  t.teardown(late.close);
  const other = await startPeer(fleet.store, 'desk', {});
  t.teardown(other.close);
  const detector = createFailureDetector('127.0.0.1:1');
  for (let turn = 0; turn < 6; turn++) {
    await detector.probe(late.node, [late.node, other.node]);
    const {liveness} = detector.stateOf(late.node);
    t.true(liveness === 'alive' || liveness === 'suspect', liveness);
  }
});

test('daemons that are first probed at the same time are compared with each other', async t => {
  const fleet = await startFleet([]);
  t.teardown(fleet.close);
  const peers = await Promise.all(
    [1, 2].map(() => startPeer(fleet.store, 'desk', {isUnreachable: true})),
  );
  t.teardown(() => Promise.all(peers.map(peer => peer.close())));
  const detector = createFailureDetector('127.0.0.1:1');
  for (let turn = 0; turn < 3; turn++) {
    await Promise.all(peers.map(({node}) => detector.probe(node)));
  }
  for (const {node} of peers) t.is(detector.stateOf(node).liveness, 'alive');
});
