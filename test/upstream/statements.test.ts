import test from 'ava';
import {
  EMPTY_STATEMENT,
  createStatementTracker,
  type Statement,
} from '../../src/upstream/index.js';

/** A memory of statements at a clock, and the limits that it told. */
function createFixture() {
  const limits: (number | undefined)[] = [];
  const problems: string[] = [];
  let now = 0;
  let leavings = 0;
  const statements = createStatementTracker({
    clock: () => now,
    onLimitChange: perSecond => limits.push(perSecond),
    onLeaving: () => (leavings += 1),
    onInvalidValue: message => problems.push(message),
  });
  const hear = (changed: Partial<Statement>, ran = true) => {
    now += 10;
    statements.record({
      statement: {...EMPTY_STATEMENT, ...changed},
      sentAt: now - 5,
      ran,
    });
  };
  return {statements, hear, limits, problems, leavings: () => leavings};
}

test('each change of a limit is told once', t => {
  const {statements, hear, limits} = createFixture();
  for (const limit of [5, 5, 7, undefined, undefined]) hear({limit});
  t.deepEqual(limits, [5, 7, undefined]);
  hear({limit: 3});
  statements.begin();
  t.is(statements.limit(), undefined);
});

test('the lowest limit that others know holds until an answer', t => {
  const {statements, hear} = createFixture();
  statements.adoptLimit(NaN);
  t.is(statements.limit(), undefined);
  for (const limit of [9, 4, 6]) statements.adoptLimit(limit);
  t.is(statements.limit(), 4);
  hear({});
  t.is(statements.limit(), undefined);
  statements.adoptLimit(4);
  t.is(statements.limit(), undefined);
});

test('an answer to a call for keys does not end what others know of a limit', t => {
  const {statements, hear} = createFixture();
  hear({}, false);
  statements.adoptLimit(4);
  t.is(statements.limit(), 4);
  hear({}, false);
  t.is(statements.limit(), 4);
});

test('a value that can not be read is told once, and leaves the limit', t => {
  const {statements, hear, problems} = createFixture();
  hear({limit: 5});
  for (let i = 0; i < 3; i++) hear({problems: ['server-limit: NaN']});
  t.deepEqual(problems, ['server-limit: NaN']);
  t.is(statements.limit(), 5);
});
