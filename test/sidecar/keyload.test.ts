import test from 'ava';
import {playKeyLoad, type KeyLoadSecond} from './keyload.js';

const TRAFFIC = {load: 0.95, hotKeyShare: 0, silentFrom: Infinity, seed: 1};

/** Time in which the plans have to follow the traffic, in seconds. */
const SECONDS = 20;

/** Returns the means of the last ten seconds. */
function endOf(seconds: readonly KeyLoadSecond[]) {
  const last = seconds.slice(-10);
  const mean = (valueOf: (second: KeyLoadSecond) => number) =>
    last.reduce((sum, second) => sum + valueOf(second), 0) / last.length;
  return {
    servedShare: mean(second => second.servedShare),
    idleShare: mean(second => second.idleShare),
  };
}

test('busy keys that are close to one another are divided among all instances', async t => {
  const {servedShare, idleShare} = endOf(await playKeyLoad(TRAFFIC, SECONDS));
  t.true(servedShare > 0.95, `served ${servedShare}`);
  t.true(idleShare < 0.1, `idle ${idleShare}`);
});

test('busy keys are divided while a single key is requested too often', async t => {
  const traffic = {...TRAFFIC, load: 0.8, hotKeyShare: 0.2};
  const {servedShare} = endOf(await playKeyLoad(traffic, SECONDS));
  // An instance can execute a fifth of the requests for the hot key.
  t.true(servedShare > 0.78, `served ${servedShare}`);
});

test('busy keys are divided though overloaded daemons answer no probes', async t => {
  const traffic = {...TRAFFIC, silentFrom: 3};
  const {servedShare} = endOf(await playKeyLoad(traffic, SECONDS));
  t.true(servedShare > 0.9, `served ${servedShare}`);
});

test('dividing busy keys moves few of them', async t => {
  const seconds = await playKeyLoad(TRAFFIC, SECONDS);
  const moved = seconds.reduce((sum, second) => sum + second.movedShare, 0);
  t.true(moved < 0.25, `moved ${moved}`);
});
