import test from 'ava';
import {createInstanceNotices} from '../../src/relay/index.js';
import {EMPTY_STATEMENT} from '../../src/upstream/index.js';

const GRACE_PERIOD_MS = 800;

const incarnationOf = (born: number) => ({
  node: '10.1.0.8:7620',
  id: 'i-1',
  born,
});

const answer = (limit: number | undefined, isLeaving: boolean, sentAt = 0) => ({
  statement: {...EMPTY_STATEMENT, limit, isLeaving},
  sentAt,
  ran: true,
});

test('an instance that announced its leaving gets no requests for its incarnation', t => {
  const notices = createInstanceNotices(() => GRACE_PERIOD_MS);
  notices.record(incarnationOf(1), answer(undefined, true), 100);
  t.false(notices.hasLeft(incarnationOf(1), 899));
  t.true(notices.hasLeft(incarnationOf(1), 900));
  notices.record(incarnationOf(1), answer(undefined, false, 950), 1000);
  notices.record(incarnationOf(1), answer(undefined, true, 950), 1000);
  t.true(notices.hasLeft(incarnationOf(1), 1000));
  t.false(notices.hasLeft(incarnationOf(2), 1000));
});

test('the last stated rate limit of an instance is known for its incarnation', t => {
  const notices = createInstanceNotices(() => GRACE_PERIOD_MS);
  t.is(notices.rateLimit(incarnationOf(1)), undefined);
  notices.record(incarnationOf(1), answer(5, false), 100);
  t.is(notices.rateLimit(incarnationOf(1)), 5);
  t.is(notices.rateLimit(incarnationOf(2)), undefined);
  notices.record(incarnationOf(1), answer(undefined, false, 150), 200);
  t.is(notices.rateLimit(incarnationOf(1)), undefined);
});

test('the number of recorded incarnations is bounded', t => {
  const notices = createInstanceNotices(() => GRACE_PERIOD_MS);
  for (let born = 0; born < 10_000; born++) {
    notices.record(incarnationOf(born), answer(undefined, true), 0);
  }
  t.false(notices.hasLeft(incarnationOf(0), GRACE_PERIOD_MS));
  t.true(notices.hasLeft(incarnationOf(9999), GRACE_PERIOD_MS));
});
