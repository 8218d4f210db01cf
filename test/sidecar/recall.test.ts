import test from 'ava';
import {EMPTY_VIEW, applyChange, memberKey} from '../../src/fleet/index.js';
import {recallMember} from '../../src/sidecar/recall.js';

const nodeOf = (index: number) =>
  `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7620`;
const OWN = nodeOf(0);

const registrationOf = (node: string, state: string) => {
  const [domain, service] = ['zone', 'stock'];
  return {node, domain, service, id: `i-${node}`, born: 1, slots: 4, state};
};

/** A fleet in which a daemon asks, and what the others answer. */
function ask(size: number, answerOf: (asked: number) => unknown) {
  let view = EMPTY_VIEW;
  for (let index = 0; index < size; index++) {
    const value = JSON.stringify(registrationOf(nodeOf(index), 'ready'));
    const key = memberKey(nodeOf(index));
    ({view} = applyChange(view, {key, value, version: 1 + index}));
  }
  const asked: string[] = [];
  const found = recallMember({
    node: OWN,
    view: () => view,
    random: () => 0.5,
    fetch: async peer => {
      asked.push(peer);
      return answerOf(asked.length);
    },
  });
  return found.then(members => ({asked, states: members.map(m => m.state)}));
}

for (const [size, expected] of [
  [9, 5],
  [80, 5],
  [1200, 5],
] as const) {
  test(`a daemon among ${size} asks ${expected} others about its instance`, async t => {
    const answer = (asked: number) =>
      registrationOf(OWN, asked === 3 ? 'left' : 'ready');
    const {asked, states} = await ask(size, answer);
    t.is(new Set(asked).size, expected);
    t.false(asked.includes(OWN));
    t.true(states.includes('left'));
  });
}

test('others are asked once if none answers', async t => {
  const silent = (asked: number) =>
    asked <= 5 ? undefined : registrationOf(OWN, 'left');
  const {asked, states} = await ask(80, silent);
  t.is(new Set(asked).size, 10);
  t.deepEqual(new Set(states), new Set(['left']));
  const none = await ask(80, () => undefined);
  t.is(none.asked.length, 10);
  t.deepEqual(none.states, []);
  t.deepEqual((await ask(1, () => undefined)).asked, []);
});

// Another server may have the address of a daemon by now.
test('answers that are no registration of the instance are ignored', async t => {
  const answers = [null, 7, {}, registrationOf(nodeOf(1), 'left'), 'left'];
  const {states} = await ask(9, asked => answers[asked - 1]);
  t.deepEqual(states, []);
});
