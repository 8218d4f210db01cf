import test from 'ava';
import {RELAY_EVENTS} from '../../src/relay/index.js';
import {sendRequest, startFleet} from './fixture.js';

const BODY = Buffer.alloc(60_000);

test('a refused upload is refused before its body is sent to the instance', async t => {
  const fleet = await startFleet(['stock', 'desk', 'desk'], {workMs: 300});
  t.teardown(fleet.close);
  const [{callers}] = fleet.pairs;
  // From then on the daemons know how long requests take.
  for (let turn = 0; turn < 12; turn++)
    await sendRequest(callers, 'POST', '/book/x');
  const answers = await Promise.all(
    Array.from({length: 60}, () =>
      sendRequest(callers, 'POST', '/book/x', undefined, BODY),
    ),
  );
  const served = answers.filter(({status}) => status === 200);
  t.true(served.length >= 8);
  t.true(answers.some(({status}) => status === 503));
  t.true(answers.every(({status}) => status === 200 || status === 503));
  // One that has waited for a slot had to be there; it waits for 500 ms or more.
  const inVain = fleet.pairs
    .flatMap(({events}) => events)
    .filter(
      ([kind, {outcome, bodyBytes, waitMs}]) =>
        kind === RELAY_EVENTS.ran &&
        outcome === 'not-run' &&
        bodyBytes &&
        (waitMs as number) < 250,
    );
  // Two that travelled to each instance when its queue filled up come too late.
  t.true(inVain.length <= 2 * 2, `${inVain.length} bodies were sent in vain`);
});
