import test from 'ava';
import {newFleet} from './fleet.js';

const START_MS = 4000;

/** Time within which a slice is served again after the loss of its owner. */
const SERVED_AGAIN_MS = 1000;

test('every slice is served once the fleet has started', t => {
  const fleet = newFleet({size: 5, seed: 1});
  fleet.run(START_MS);
  t.deepEqual(fleet.unserved(), []);
});

test('the slices of a killed instance are served again within a second', t => {
  const fleet = newFleet({size: 5, seed: 2});
  fleet.run(START_MS);
  fleet.kill(0);
  fleet.run(SERVED_AGAIN_MS);
  t.deepEqual(fleet.unserved(), []);
});

test('a loss is taken over while the platform is away', t => {
  const fleet = newFleet({size: 5, seed: 3});
  fleet.run(START_MS);
  fleet.faults.platformDown = true;
  fleet.run(500);
  fleet.kill(1);
  fleet.run(SERVED_AGAIN_MS);
  t.deepEqual(fleet.unserved(), []);
});

test('a drained instance gives its slices away', t => {
  const fleet = newFleet({size: 5, seed: 4});
  fleet.run(START_MS);
  fleet.drain(2);
  fleet.run(SERVED_AGAIN_MS);
  t.deepEqual(fleet.unserved(), []);
  const left = [...fleet.nodes[2].state.holdings.values()];
  t.false(left.some(({state}) => state === 'serving'));
});

test('an upstream that says that it leaves keeps its slices', t => {
  const fleet = newFleet({size: 5, seed: 6});
  fleet.run(START_MS);
  const served = () => [...fleet.nodes[2].state.holdings.values()];
  t.true(served().some(({state}) => state === 'serving'));
  fleet.setLeaving(2);
  fleet.run(SERVED_AGAIN_MS);
  t.deepEqual(fleet.unserved(), []);
  t.false(served().some(({state}) => state === 'serving'));
});

test('a fleet that restarts at once is served again', t => {
  const fleet = newFleet({size: 5, seed: 5});
  fleet.run(START_MS);
  fleet.nodes.forEach(node => fleet.restart(node.index));
  fleet.run(START_MS);
  t.deepEqual(fleet.unserved(), []);
});
