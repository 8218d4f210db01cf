import test from 'ava';
import {createInstanceNotices} from '../../src/relay/index.js';
import {EMPTY_STATEMENT} from '../../src/upstream/index.js';

const OPEN_MS = 800;

const lifeOf = (born: number) => ({node: '10.1.0.8:7620', id: 'i-1', born});

const answer = (limit: number | undefined, isLeaving: boolean, sentAt = 0) => ({
  statement: {...EMPTY_STATEMENT, limit, isLeaving},
  sentAt,
  ran: true,
});

test('an instance that said that it leaves is closed for its life', t => {
  const heard = createInstanceNotices(() => OPEN_MS);
  heard.record(lifeOf(1), answer(undefined, true), 100);
  t.false(heard.hasLeft(lifeOf(1), 899));
  t.true(heard.hasLeft(lifeOf(1), 900));
  heard.record(lifeOf(1), answer(undefined, false, 950), 1000);
  heard.record(lifeOf(1), answer(undefined, true, 950), 1000);
  t.true(heard.hasLeft(lifeOf(1), 1000));
  t.false(heard.hasLeft(lifeOf(2), 1000));
});

test('the limit that an instance named last is known for its life', t => {
  const heard = createInstanceNotices(() => OPEN_MS);
  t.is(heard.rateLimit(lifeOf(1)), undefined);
  heard.record(lifeOf(1), answer(5, false), 100);
  t.is(heard.rateLimit(lifeOf(1)), 5);
  t.is(heard.rateLimit(lifeOf(2)), undefined);
  heard.record(lifeOf(1), answer(undefined, false, 150), 200);
  t.is(heard.rateLimit(lifeOf(1)), undefined);
});

test('the memory of instances is bounded', t => {
  const heard = createInstanceNotices(() => OPEN_MS);
  for (let born = 0; born < 10_000; born++) {
    heard.record(lifeOf(born), answer(undefined, true), 0);
  }
  t.false(heard.hasLeft(lifeOf(0), OPEN_MS));
  t.true(heard.hasLeft(lifeOf(9999), OPEN_MS));
});
