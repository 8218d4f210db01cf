import test from 'ava';
import {extendSpan, isUnchangedSince} from '../../platform/span.js';

const FIRST = extendSpan(undefined, {era: 1, after: 4, at: 6, changes: 2}, 0);

test('responses with as many changes as revisions tell that nothing else changed', t => {
  const next = extendSpan(FIRST, {era: 1, after: 6, at: 9, changes: 3}, 500);
  t.true(isUnchangedSince(next, 1, 4, 1000));
  t.true(isUnchangedSince(next, 1, 9, 1000));
});

test('nothing is known of the time before the first response', t => {
  t.false(isUnchangedSince(undefined, 0, 0, 0));
  t.false(isUnchangedSince(FIRST, 1, 3, 0));
});

test('a revision without a change in the response may be of another kind', t => {
  const next = extendSpan(FIRST, {era: 1, after: 6, at: 9, changes: 2}, 500);
  t.false(isUnchangedSince(next, 1, 8, 500));
  t.true(isUnchangedSince(next, 1, 9, 500));
});

test('a response that does not follow the last one begins a new span', t => {
  const next = extendSpan(FIRST, {era: 1, after: 7, at: 7, changes: 0}, 500);
  t.false(isUnchangedSince(next, 1, 6, 500));
  t.true(isUnchangedSince(next, 1, 7, 500));
});

test('a response counts for less than a second', t => {
  t.true(isUnchangedSince(FIRST, 1, 5, 800));
  t.false(isUnchangedSince(FIRST, 1, 5, 801));
});

test('revisions of another era tell nothing', t => {
  const next = extendSpan(FIRST, {era: 2, after: 6, at: 7, changes: 1}, 500);
  t.false(isUnchangedSince(next, 1, 6, 500));
  t.false(isUnchangedSince(next, 2, 5, 500));
  t.true(isUnchangedSince(next, 2, 6, 500));
});
