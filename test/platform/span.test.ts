import test from 'ava';
import {
  changeOfOthers,
  extendSpan,
  type WatchedPage,
} from '../../platform/span.js';

const FIRST = extendSpan(
  undefined,
  {era: 1, after: 4, at: 6, changes: [5, 6]},
  0,
);

/** Returns the span after the first response and another one, 500 ms later. */
function spanAfter(page: Partial<WatchedPage>) {
  const next = {era: 1, after: 6, at: 9, changes: [7, 8, 9], ...page};
  return extendSpan(FIRST, next, 500);
}

test('responses with as many changes as revisions tell that nothing else changed', t => {
  const span = spanAfter({});
  t.is(changeOfOthers(span, 1, 4, 1000), 'unchanged');
  t.is(changeOfOthers(span, 1, 9, 1000), 'unchanged');
});

test('nothing is known before a response, and of the time before the first', t => {
  t.is(changeOfOthers(undefined, 0, 0, 0), 'unknown');
  t.not(changeOfOthers(spanAfter({}), 1, 3, 500), 'unchanged');
});

test('a revision without a change in the response is suspected to be of another kind', t => {
  const span = spanAfter({changes: [7, 9]});
  t.is(changeOfOthers(span, 1, 8, 500), 'suspected');
  t.is(changeOfOthers(span, 1, 9, 500), 'unchanged');
});

for (const changes of [
  [7, 9, 10],
  [7, 7, 9],
]) {
  test(`changes ${changes.join()} do not make up for revision 8`, t => {
    t.is(changeOfOthers(spanAfter({changes}), 1, 8, 500), 'suspected');
  });
}

test('a response that does not follow the last one begins a new span', t => {
  const span = spanAfter({after: 7, at: 7, changes: []});
  t.is(changeOfOthers(span, 1, 6, 500), 'suspected');
  t.is(changeOfOthers(span, 1, 7, 500), 'unchanged');
});

test('a response from before the last one tells nothing of its versions', t => {
  const span = spanAfter({at: 5, changes: []});
  t.is(changeOfOthers(span, 1, 5, 500), 'suspected');
});

test('a response counts for less than a second', t => {
  t.is(changeOfOthers(spanAfter({}), 1, 5, 1300), 'unchanged');
  t.is(changeOfOthers(spanAfter({}), 1, 5, 1301), 'unknown');
});

test('responses that are rare tell too little', t => {
  t.is(changeOfOthers(FIRST, 1, 5, 0), 'unknown');
  const page = {era: 1, after: 6, at: 7, changes: [7]};
  const rare = extendSpan(FIRST, page, 801);
  t.is(changeOfOthers(rare, 1, 5, 801), 'unknown');
});

test('revisions of another era tell nothing', t => {
  const span = spanAfter({era: 2, at: 7, changes: [7]});
  t.is(changeOfOthers(span, 1, 6, 500), 'unknown');
  t.not(changeOfOthers(span, 2, 5, 500), 'unchanged');
});
