import test from 'ava';
import {checkResults, sumRows} from '../../demo/check.js';
import type {ExecutionLog} from '../../demo/fleet.js';
import {formatTotal} from '../../demo/table.js';
import type {Result, Verdict} from '../../src/load/index.js';
import type {Execution} from '../../standin/upstream/index.js';

const BASE = {
  services: {
    rota: {pathPrefix: '/rota/', key: {path: '/rota/{key}'}, slices: 1},
  },
};

interface Case {
  readonly id?: string;
  readonly method?: 'GET' | 'POST';
  readonly verdict?: Verdict;
  readonly mayHaveRun?: boolean;
  readonly status?: number;
  readonly dueMs?: number;
  readonly endedMs?: number;
}

function createResult(given: Case): Result {
  const {id = 'a', method = 'POST', verdict = 'ok', dueMs = 0} = given;
  const path = createPath(id);
  const kind = '/rota/{key}';
  return {
    request: {id, dueMs, method, path, kind, key: 'k', bodyBytes: 0, entry: 0},
    verdict,
    status: 200,
    attempts: 1,
    mayHaveRun: verdict === 'ok' || verdict === 'unknown',
    target: {host: '127.0.0.1', port: 1},
    startedMs: dueMs,
    endedMs: dueMs + 5,
    ...given,
  };
}

function createPath(id: string): string {
  return `/rota/k?request=${id}`;
}

/** Creates the log of one execution; committed by default. */
function createLog(
  instance: string,
  change: Partial<Execution> & {readonly of?: string} = {},
): ExecutionLog {
  const path = createPath(change.of ?? 'a');
  const execution: Execution = {
    id: 'r',
    method: 'POST',
    path,
    key: 'k',
    slice: 0,
    epoch: 1,
    started: 1,
    committed: 2,
    outcome: 'committed',
    ...change,
  };
  return {instance, service: 'rota', executions: [execution]};
}

function check(results: readonly Case[], ...logs: ExecutionLog[]) {
  return sumRows(checkResults(BASE, results.map(createResult), logs).rows);
}

test('a successful response without a commit is wrong', t => {
  t.like(check([{}], createLog('x')), {ok: 1, wrong: 0, duplicated: 0});
  t.like(check([{}]), {wrong: 1});
  const fenced = createLog('x', {outcome: 'fenced', committed: undefined});
  t.like(check([{}], fenced), {wrong: 1});
});

test('a commit of a request that was reported as not run is wrong', t => {
  const refused: Case = {verdict: 'not-run', status: 503};
  t.like(check([refused]), {failed: 1, wrong: 0});
  t.like(check([refused], createLog('x')), {failed: 1, wrong: 1});
  const unsure = {...refused, mayHaveRun: true};
  t.like(check([unsure], createLog('x')), {failed: 1, wrong: 0});
});

test('a second commit is a duplicate unless the request is idempotent', t => {
  const logs = [createLog('x'), createLog('y')];
  t.like(check([{}], ...logs), {duplicated: 1});
  t.like(check([{method: 'GET'}], ...logs), {duplicated: 0});
});

test('a commit after one under a higher epoch is wrong', t => {
  const results = [{id: 'a'}, {id: 'b'}];
  const newer = createLog('y', {of: 'b', epoch: 2, committed: 10});
  const at = (committed: number) => createLog('x', {committed});
  t.like(check(results, newer, at(9)), {wrong: 0});
  t.like(check(results, newer, at(11)), {wrong: 1});
});

test('the unavailable time lasts until the next successful response', t => {
  const logs = ['a', 'b', 'c'].map(of => createLog('x', {of}));
  const failed: Case = {id: 'b', verdict: 'unknown', status: 504, dueMs: 100};
  const first: Case = {id: 'a', dueMs: 0};
  const last: Case = {id: 'c', dueMs: 600};
  t.is(check([first, failed, last], ...logs).unavailableMs, 505);
  const lost = {...failed, status: undefined};
  t.is(check([first, lost, last], ...logs).unavailableMs, 5);
});

test('the summary line contains the sums of all services', t => {
  const total = check([{}, {id: 'b', verdict: 'unknown'}], createLog('x'));
  t.is(
    formatTotal(total),
    'demo: requests=2 failed=1 wrong=0 duplicated=0 unavailable_ms_max=5',
  );
});
