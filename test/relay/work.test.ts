import test from 'ava';
import {holderWaitUntil} from '../../src/relay/index.js';

test('a request waits for a holder for at most half of its remaining time', t => {
  t.is(holderWaitUntil(1000, 5000, 700), 1700);
  t.is(holderWaitUntil(1000, 1400, 700), 1200);
});
