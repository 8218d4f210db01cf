import test from 'ava';
import fc from 'fast-check';
import {LAST_KEY, parseMap, type RangeMap} from '../../src/ranges/index.js';

const INCARNATION = {node: '10.1.0.8:7620', id: 'i-1', born: 1000};

/** Returns a map of two terms, one of them on the move. */
function map(): RangeMap {
  const term = {fence: 3, holder: INCARNATION, handover: ''};
  return {
    fence: 7,
    terms: [
      {...term, from: 0, to: 99, state: 'held'},
      {...term, from: 100, to: LAST_KEY, state: 'moving', next: INCARNATION},
    ],
  };
}

test('a map is read as it was written', t => {
  t.deepEqual(parseMap(JSON.stringify(map())), map());
});

for (const [name, value] of [
  ['holder', {node: 'a'}],
  ['state', 'lost'],
  ['fence', '3'],
  ['to', null],
  ['next', 5],
] as const) {
  test(`a map in which a term has a malformed ${name} is not used`, t => {
    const {fence, terms} = map();
    const changed = [terms[0], {...terms[1], [name]: value}];
    t.true('problem' in parseMap(JSON.stringify({fence, terms: changed})));
  });
}

test('any value in place of a part of a map is read whole or not at all', t => {
  const fields = Object.keys(map().terms[1]);
  fc.assert(
    fc.property(fc.constantFrom(...fields), fc.jsonValue(), (name, value) => {
      const {fence, terms} = map();
      const changed = [terms[0], {...terms[1], [name]: value}];
      const read = parseMap(JSON.stringify({fence, terms: changed}));
      if ('problem' in read) return;
      for (const {holder, next, state} of read.terms) {
        t.is(typeof holder.node, 'string');
        if (state === 'moving') t.is(typeof next?.node, 'string');
      }
    }),
    {numRuns: 1000, seed: 18},
  );
});
