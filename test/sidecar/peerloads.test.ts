import test from 'ava';
import {createPeerLoads} from '../../src/sidecar/peerloads.js';
import type {PeerStatus} from '../../src/relay/index.js';

const NODE = '10.1.0.8:7620';

// Guards against keyed requests that are refused as "the daemon of the holder of
// the key has failed" while it is known to live (SHORT).
test('a daemon is not avoided any more once anything has arrived from it', async t => {
  const controller = new AbortController();
  const tasks: Promise<unknown>[] = [];
  let status: PeerStatus = {
    liveness: 'unresponsive',
    quietMs: 2000,
    failingMs: 2000,
  };
  let probes = 0;
  const loads = createPeerLoads({
    clock: () => 1000,
    wallClock: () => 1000,
    // The first probe times out; later ones wait behind a full link.
    probe: () => (probes++ === 0 ? Promise.resolve() : new Promise(() => {})),
    stateOf: () => status,
    recordAnswer: () => {},
    isMember: () => true,
    signal: controller.signal,
    runInBackground: task => tasks.push(task),
  });
  t.teardown(() => controller.abort());
  loads.probe(NODE);
  await tasks[0];
  t.true(loads.of(NODE).avoidedUntil > 1000);
  // A late answer, or a part of a long one, by the failure detector.
  status = {liveness: 'alive', quietMs: 0, failingMs: 0};
  t.true(loads.of(NODE).avoidedUntil <= 1000);
});
