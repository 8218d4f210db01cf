import test from 'ava';
import type {Commit} from '../../measure/fleet.js';
import type {Ending, Write} from './caller.js';
import {findContradictions} from './check.js';

const PATH = '/ledger/key?number=1';

function write(ending: Ending): Write {
  const entry = {host: '127.0.0.1', port: 1};
  return {path: PATH, key: 'key', entry, ending};
}

function commit(fields: Partial<Commit>): Commit {
  return {
    id: 'request',
    method: 'POST',
    path: PATH,
    key: 'key',
    slice: 1,
    epoch: 1,
    started: 0,
    committed: 1,
    outcome: 'committed',
    instance: 'a',
    ...fields,
  };
}

const ANSWERED: Ending = {kind: 'answered', isOwn: true};
const NOT_RUN: Ending = {kind: 'not-run', reason: ''};

test('a write that ran once is no contradiction', t => {
  t.deepEqual(findContradictions([write(ANSWERED)], [commit({})]), []);
});

test('each kind of contradiction is found', t => {
  const other = {path: '/ledger/key?number=2'};
  const cases: readonly (readonly [Ending, readonly Commit[], RegExp])[] = [
    [ANSWERED, [commit({}), commit({committed: 2})], /ran twice/],
    [NOT_RUN, [commit({})], /reported as not run but ran/],
    [ANSWERED, [], /never ran/],
    [{kind: 'answered', isOwn: false}, [commit({})], /answer to another/],
    [
      ANSWERED,
      [commit({...other, epoch: 2, instance: 'b'}), commit({committed: 2})],
      /follows higher epoch/,
    ],
    [
      ANSWERED,
      [commit({}), commit({...other, instance: 'b'})],
      /reuses an epoch of/,
    ],
  ];
  for (const [ending, commits, expected] of cases) {
    const found = findContradictions([write(ending)], commits);
    t.is(found.length, 1);
    t.regex(found[0], expected);
  }
});
