import test from 'ava';
import {
  EMPTY_STATEMENT,
  createStatementTracker,
  type Statement,
} from '../../src/upstream/index.js';

/** Creates a statement tracker with a manual clock and records its callbacks. */
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
  const record = (changed: Partial<Statement>, ran = true) => {
    now += 10;
    statements.record({
      statement: {...EMPTY_STATEMENT, ...changed},
      sentAt: now - 5,
      ran,
    });
  };
  return {statements, record, limits, problems, leavings: () => leavings};
}

test('each change of the limit is reported once', t => {
  const {statements, record, limits} = createFixture();
  for (const limit of [5, 5, 7, undefined, undefined]) record({limit});
  t.deepEqual(limits, [5, 7, undefined]);
  record({limit: 3});
  statements.begin();
  t.is(statements.limit(), undefined);
});

test('the lowest limit reported to other daemons applies until a direct response', t => {
  const {statements, record} = createFixture();
  statements.adoptLimit(NaN);
  t.is(statements.limit(), undefined);
  for (const limit of [9, 4, 6]) statements.adoptLimit(limit);
  t.is(statements.limit(), 4);
  record({});
  t.is(statements.limit(), undefined);
  statements.adoptLimit(4);
  t.is(statements.limit(), undefined);
});

test('a response to a key request does not remove a limit reported to other daemons', t => {
  const {statements, record} = createFixture();
  record({}, false);
  statements.adoptLimit(4);
  t.is(statements.limit(), 4);
  record({}, false);
  t.is(statements.limit(), 4);
});

test('an invalid value is reported once and does not change the limit', t => {
  const {statements, record, problems} = createFixture();
  record({limit: 5});
  for (let i = 0; i < 3; i++) record({problems: ['server-limit: NaN']});
  t.deepEqual(problems, ['server-limit: NaN']);
  t.is(statements.limit(), 5);
});
