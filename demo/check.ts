import {isIdempotent, type Result} from '../src/load/index.js';
import {sliceOfKey} from '../src/model/index.js';
import type {Execution} from '../standin/upstream/journal.js';
import type {Base} from './deployment.js';
import type {ExecutionLog} from './fleet.js';

/** Results of one service, or of all services together. */
export interface Row {
  readonly service: string;
  readonly requests: number;
  readonly ok: number;
  /** Requests that failed or got no response. */
  readonly failed: number;
  /** Responses that contradict the executions recorded by the upstreams. */
  readonly wrong: number;
  /** Non-idempotent requests that were committed more than once. */
  readonly duplicated: number;
  /**
   * Longest time without a response of a slice, or of a service without keys.
   */
  readonly unavailableMs: number;
  /** Latencies of successful requests, in ascending order. */
  readonly latenciesMs: readonly number[];
}

/** Result of a check. */
export interface Report {
  readonly rows: readonly Row[];
  /** Description of each wrong or duplicated request. */
  readonly findings: readonly string[];
}

interface Commit extends Execution {
  readonly committed: number;
  readonly instance: string;
}

/**
 * Checks every result against the executions recorded by the upstreams.
 *
 * A response is wrong if it belongs to another request, if no upstream
 * committed its request, or if it states that the request was not run although
 * it was committed. A commit is wrong if its slice was committed under a higher
 * epoch before.
 *
 * @example
 * const {rows, findings} = checkResults(base, results, logs);
 */
export function checkResults(
  base: Base,
  results: readonly Result[],
  logs: readonly ExecutionLog[],
): Report {
  const commits = groupCommitsByPath(logs);
  const services = Object.entries(base.services).map(([service, declared]) => {
    const own = results.filter(({request}) =>
      request.path.startsWith(declared.pathPrefix),
    );
    const wrong = [
      ...own.flatMap(result => findWrong(result, commits)),
      ...findLateCommits(logs.filter(log => log.service === service)),
    ];
    const duplicated = own.flatMap(result => findDuplicated(result, commits));
    const row = createRow(service, own, declared.slices ?? 1);
    const counts = {wrong: wrong.length, duplicated: duplicated.length};
    return {row: {...row, ...counts}, findings: [...wrong, ...duplicated]};
  });
  return {
    rows: services.map(({row}) => row),
    findings: services.flatMap(({findings}) => findings),
  };
}

function createRow(
  service: string,
  results: readonly Result[],
  slices: number,
): Omit<Row, 'wrong' | 'duplicated'> {
  const ok = results.filter(({verdict}) => verdict === 'ok');
  const failed = results.filter(
    ({verdict}) => verdict !== 'ok' && verdict !== 'wrong',
  );
  const latenciesMs = ok.map(({endedMs, request}) => endedMs - request.dueMs);
  return {
    service,
    requests: results.length,
    ok: ok.length,
    failed: failed.length,
    unavailableMs: findLongestOutage(results, slices),
    latenciesMs: latenciesMs.sort((a, b) => a - b),
  };
}

/** Sums the rows of a report; the unavailable time is the maximum. */
export function sumRows(rows: readonly Row[]): Row {
  const sum = (field: (row: Row) => number) =>
    rows.reduce((total, row) => total + field(row), 0);
  return {
    service: 'all',
    requests: sum(row => row.requests),
    ok: sum(row => row.ok),
    failed: sum(row => row.failed),
    wrong: sum(row => row.wrong),
    duplicated: sum(row => row.duplicated),
    unavailableMs: Math.max(0, ...rows.map(row => row.unavailableMs)),
    latenciesMs: rows.flatMap(row => row.latenciesMs).sort((a, b) => a - b),
  };
}

function groupCommitsByPath(
  logs: readonly ExecutionLog[],
): ReadonlyMap<string, readonly Commit[]> {
  const byPath = new Map<string, Commit[]>();
  for (const commit of logs.flatMap(selectCommits)) {
    const found = byPath.get(commit.path);
    if (found) found.push(commit);
    else byPath.set(commit.path, [commit]);
  }
  return byPath;
}

function selectCommits({
  instance,
  executions,
}: ExecutionLog): readonly Commit[] {
  return executions.flatMap(execution => {
    const {committed} = execution;
    return committed === undefined ? [] : [{...execution, committed, instance}];
  });
}

function findWrong(
  {request, verdict, mayHaveRun}: Result,
  commits: ReadonlyMap<string, readonly Commit[]>,
): readonly string[] {
  const {method, path} = request;
  const count = commits.get(path)?.length ?? 0;
  if (verdict === 'wrong')
    return [`${method} ${path}: got the response to another request`];
  if (verdict === 'ok' && count === 0) {
    return [`${method} ${path}: successful response but no commit`];
  }
  if (!mayHaveRun && count > 0) {
    return [`${method} ${path}: reported as not run but committed`];
  }
  return [];
}

function findDuplicated(
  {request}: Result,
  commits: ReadonlyMap<string, readonly Commit[]>,
): readonly string[] {
  const {method, path} = request;
  const found = commits.get(path) ?? [];
  if (isIdempotent(method) || found.length < 2) return [];
  const places = found.map(c => `${c.instance} epoch ${c.epoch}`).join(', ');
  return [`${method} ${path}: committed ${found.length} times (${places})`];
}

/** Finds commits of a slice after a commit under a higher epoch. */
function findLateCommits(logs: readonly ExecutionLog[]): readonly string[] {
  const keyed = logs.flatMap(selectCommits).filter(c => c.epoch !== undefined);
  keyed.sort((a, b) => a.committed - b.committed);
  const highest = new Map<number, Commit>();
  return keyed.flatMap(commit => {
    const {slice = 0, epoch = 0} = commit;
    const before = highest.get(slice);
    const isHigher = before === undefined || epoch >= (before.epoch ?? 0);
    if (isHigher) highest.set(slice, commit);
    if (isHigher || commit.committed === before.committed) return [];
    const first = `${before.instance} epoch ${before.epoch}`;
    return [
      `${commit.path}: ${commit.instance} committed epoch ${epoch} after ${first}`,
    ];
  });
}

/**
 * Returns the longest time, in milliseconds, from the due time of a request to
 * the next successful response among requests of the slice due at that time or
 * later. Ignores requests that failed without any response: they were lost with
 * the daemon that received them, which does not show that the slice was down.
 */
function findLongestOutage(results: readonly Result[], slices: number): number {
  const bySlice = new Map<number, Result[]>();
  for (const result of results) {
    if (result.verdict !== 'ok' && result.status === undefined) continue;
    const {key} = result.request;
    const slice = key === undefined ? 0 : sliceOfKey(key, slices);
    const found = bySlice.get(slice);
    if (found) found.push(result);
    else bySlice.set(slice, [result]);
  }
  return Math.max(0, ...[...bySlice.values()].map(findLongestGap));
}

function findLongestGap(results: readonly Result[]): number {
  const byDue = [...results].sort((a, b) => b.request.dueMs - a.request.dueMs);
  let nextAnswerMs = Infinity;
  let longest = 0;
  for (const {request, verdict, endedMs} of byDue) {
    if (verdict === 'ok') nextAnswerMs = Math.min(nextAnswerMs, endedMs);
    const endMs = nextAnswerMs === Infinity ? endedMs : nextAnswerMs;
    longest = Math.max(longest, endMs - request.dueMs);
  }
  return longest;
}
