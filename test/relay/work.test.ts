import test from 'ava';
import {holderWaitUntil} from '../../src/relay/index.js';

test('a request with little time does not spend it on waiting for a holder', t => {
  t.is(holderWaitUntil(1000, 5000, 700), 1700);
  t.is(holderWaitUntil(1000, 1400, 700), 1200);
});
