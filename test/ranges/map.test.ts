import test from 'ava';
import fc from 'fast-check';
import {
  LAST_KEY,
  hasTermsInTransit,
  parseMap,
  type RangeMap,
  type RangeTerm,
} from '../../src/ranges/index.js';

const INCARNATION = {node: '10.1.0.8:7620', id: 'i-1', born: 1000};

/** Returns a map of two terms, the second of which is moving. */
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

test('a stored map is parsed to an equal map', t => {
  t.deepEqual(parseMap(JSON.stringify(map())), map());
});

for (const [name, value] of [
  ['holder', {node: 'a'}],
  ['state', 'lost'],
  ['fence', '3'],
  ['to', null],
  ['next', 5],
] as const) {
  test(`a map in which a term has an invalid ${name} is rejected`, t => {
    const {fence, terms} = map();
    const changed = [terms[0], {...terms[1], [name]: value}];
    t.true('problem' in parseMap(JSON.stringify({fence, terms: changed})));
  });
}

test('a map with any value in place of a field is valid or rejected', t => {
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

const OTHER = {...INCARNATION, id: 'i-2'};
const NEXT = {...INCARNATION, id: 'i-3'};

/** Terms, and the incarnations that wait for a change of them. */
const TRANSITS: readonly (readonly [Partial<RangeTerm>, readonly string[]])[] =
  [
    [{state: 'held'}, []],
    [{state: 'moving', next: NEXT}, ['i-1', 'i-3']],
    [{state: 'revoked', revocation: 5}, ['i-1']],
    [{state: 'free'}, ['i-1', 'i-2', 'i-3']],
  ];

for (const [term, expected] of TRANSITS) {
  test(`those that wait for a change of a ${term.state} term are known`, t => {
    const [whole] = map().terms;
    const changed = {fence: 7, terms: [{...whole, ...term}]};
    const waiting = [INCARNATION, OTHER, NEXT]
      .filter(incarnation => hasTermsInTransit(changed, incarnation))
      .map(({id}) => id);
    t.deepEqual(waiting, expected);
  });
}
