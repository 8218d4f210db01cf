import test from 'ava';
import {startMoves, findTerm, type RangeMap} from '../../src/ranges/index.js';
import {RELAY_EVENTS} from '../../src/relay/index.js';
import {GRANT_METHODS, type GrantMethod} from '../../src/sidecar/index.js';
import {
  sendRequest,
  startFleet,
  waitUntil,
  type Answer,
  type Pair,
} from './fixture.js';

const sleep = (timeMs: number) =>
  new Promise(resolve => setTimeout(resolve, timeMs));

const KEY = 10;

/**
 * Starts a fleet of two holders and a third daemon, and returns which one holds
 * `KEY`.
 */
async function startFleetToMove(grants: GrantMethod) {
  const services = ['stock', 'stock', 'desk'];
  const fleet = await startFleet(services, {grants});
  const [a, b, entry] = fleet.pairs;
  const map = () => fleet.store.read('fleet', 'ranges.stock') as RangeMap;
  const holderNode = () => findTerm(map(), KEY)?.holder.node;
  const [from, to] = holderNode() === a.node ? [a, b] : [b, a];
  /** Writes to the range map that the keys around `KEY` are to move. */
  const move = () => {
    const next = to.sidecar.instanceManager.incarnation();
    const moves = next ? [{from: 0, to: 99, holder: next}] : [];
    fleet.store.write('fleet', 'ranges.stock', startMoves(map(), moves));
  };
  return {fleet, from, to, entry, move, holderNode};
}

/** Returns how many forwarded requests a daemon refused for a reason. */
const refusals = ({events}: Pair, reason: string) =>
  events.filter(
    ([kind, fields]) => kind === RELAY_EVENTS.ran && fields.reason === reason,
  ).length;

const statuses = (answers: readonly Answer[]) =>
  answers.map(({status}) => status);

for (const grants of GRANT_METHODS) {
  test(`a move of keys does not send every request to the old holder again and again, granted by ${grants}`, async t => {
    const {fleet, from, to, entry, move, holderNode} =
      await startFleetToMove(grants);
    t.teardown(fleet.close);
    t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
    from.instance.releaseDelayMs = 1500;
    move();
    await waitUntil(() => !from.sidecar.instanceManager.holds(KEY));
    const sent: Promise<Answer>[] = [];
    while (holderNode() === from.node) {
      sent.push(sendRequest(entry.callers, 'GET', '/view/x', KEY));
      await sleep(20);
    }
    const answers = await Promise.all(sent);
    t.true(sent.length > 30);
    t.true(refusals(from, 'not-owner') <= 5);
    for (const {status, retryAfter} of answers) {
      if (status !== 200)
        t.deepEqual([status, Number(retryAfter) > 0], [503, true]);
    }
    t.is(statuses(answers).at(-1), 200);
    t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
    t.is(to.instance.runs.at(-1)?.key, KEY);
  });
}

for (const grants of GRANT_METHODS) {
  test(`requests for a key do not overtake the grant of the key, granted by ${grants}`, async t => {
    const {fleet, from, to, entry, move, holderNode} =
      await startFleetToMove(grants);
    t.teardown(fleet.close);
    t.is((await sendRequest(entry.callers, 'GET', '/view/x', KEY)).status, 200);
    to.instance.answerReadDelayMs = 10;
    move();
    await waitUntil(() => holderNode() === to.node);
    const answers = await Promise.all(
      Array.from({length: 20}, () =>
        sendRequest(entry.callers, 'GET', '/view/x', KEY),
      ),
    );
    const refused = [from, to].flatMap(({events}) =>
      events.filter(([kind]) => kind === RELAY_EVENTS.answerRefused),
    );
    t.deepEqual(refused, []);
    t.deepEqual(statuses(answers), new Array<number>(20).fill(200));
  });
}
