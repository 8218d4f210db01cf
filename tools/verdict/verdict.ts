import type {KnownFailure} from './known-failures.js';
import type {TapOutput, TestResult} from './tap.js';

/** Verdict on a run of all tests. */
export interface Verdict {
  readonly passedCount: number;
  /** Failures of tests that are not listed. */
  readonly failures: readonly TestResult[];
  /** Listed tests that failed. */
  readonly knownFailures: readonly KnownFailure[];
  /** Listed tests that passed. */
  readonly passedEntries: readonly KnownFailure[];
  /** Listed tests without a result: renamed, removed or skipped. */
  readonly missingEntries: readonly KnownFailure[];
  /** Why the run as a whole can't count, whatever its tests say. */
  readonly faults: readonly string[];
}

/** Exit statuses of ava when all tests passed, and when some failed. */
const PASSED_STATUS = 0;
const FAILED_STATUS = 1;

/**
 * Diagnostics of tests that ended with their whole process; further tests have
 * not been run then, so that such a failure counts although it is listed.
 */
const ENDED_EARLY =
  /Exited because no new tests completed|Exiting due to process\.exit\(\)/;

/**
 * Judges a run of all tests. A failure is passed over only if its test is
 * listed and the run came to its end.
 *
 * @param status Exit status of ava; null if a signal ended it.
 * @param entries Known failures; those that are no tests are ignored.
 *
 * @example
 * const verdict = judgeRun(parseTap(stdout), status, entries);
 * process.exitCode = failedCountOf(verdict) > 0 ? 1 : 0;
 */
export function judgeRun(
  {results, statedFailures}: TapOutput,
  status: number | null,
  entries: readonly KnownFailure[],
): Verdict {
  const listed = entries.filter(({kind}) => kind === 'test');
  const titles = new Set(listed.map(({title}) => title));
  const failed = results.filter(({kind}) => kind === 'failed');
  const passed = results.filter(({kind}) => kind === 'passed');
  const failedTitles = new Set(failed.map(({title}) => title));
  const passedTitles = new Set(passed.map(({title}) => title));
  const faults: string[] = [];
  if (statedFailures === undefined) {
    faults.push(
      'ava ended without a summary: a test that never ended, or a crash',
    );
  } else if (statedFailures > failed.length) {
    const count = statedFailures - failed.length;
    faults.push(`tests without a result: ${count}`);
  }
  if (status !== PASSED_STATUS && status !== FAILED_STATUS) {
    faults.push(`ava ended with status ${status ?? 'none, by a signal'}`);
  }
  if (status === FAILED_STATUS && failed.length === 0) {
    faults.push('ava failed without a failed test');
  }
  if (passed.length === 0) faults.push('no test passed');
  for (const {title, lines} of failed) {
    if (!lines.some(line => ENDED_EARLY.test(line))) continue;
    faults.push(`the run ended early, in: ${title}`);
  }
  return {
    passedCount: passed.length,
    failures: failed.filter(({title}) => !titles.has(title)),
    knownFailures: listed.filter(({title}) => failedTitles.has(title)),
    passedEntries: listed.filter(
      ({title}) => passedTitles.has(title) && !failedTitles.has(title),
    ),
    missingEntries: listed.filter(
      ({title}) => !passedTitles.has(title) && !failedTitles.has(title),
    ),
    faults,
  };
}

/**
 * Returns the number of failures that count; the run passes if there are none.
 *
 * @example
 * failedCountOf(judgeRun(parseTap(stdout), status, entries)); // 0
 */
export function failedCountOf({
  failures,
  faults,
}: Pick<Verdict, 'failures' | 'faults'>): number {
  return failures.length + faults.length;
}

/**
 * Returns the lines that report a verdict; the last is `N passed, N failed`.
 *
 * @example
 * formatVerdict(verdict).forEach(line => console.log(line));
 */
export function formatVerdict(verdict: Verdict): readonly string[] {
  const {passedEntries, missingEntries, knownFailures} = verdict;
  const {failures, faults, passedCount} = verdict;
  return [
    ...failures.flatMap(({lines}) => lines),
    ...section(
      'listed in KNOWN-RED.txt, passed in this run',
      groupByFile(passedEntries),
    ),
    ...section(
      'listed in KNOWN-RED.txt, not run (renamed, removed or skipped)',
      missingEntries.map(({title, line}) => `line ${line}: ${title}`),
    ),
    ...knownFailures.map(
      ({title, issue}) => `known failure (issue ${issue}): ${title}`,
    ),
    ...faults.map(fault => `fault of the run: ${fault}`),
    ...failures.map(({title}) => `failure: ${title}`),
    `${passedCount} passed, ${failedCountOf(verdict)} failed`,
  ];
}

function section(head: string, lines: readonly string[]): readonly string[] {
  return lines.length === 0 ? [] : [`${head}:`, ...lines.map(l => `  ${l}`)];
}

/** Separates the parts of a title: folder, file and test. */
const SEPARATOR = ' › ';

/** One line for each test file, with the titles of its tests. */
function groupByFile(entries: readonly KnownFailure[]): readonly string[] {
  const byFile = new Map<string, string[]>();
  for (const {title} of entries) {
    const parts = title.split(SEPARATOR);
    const file = parts.slice(0, 2).join(SEPARATOR);
    const tests = byFile.get(file) ?? [];
    byFile.set(file, [...tests, parts.slice(2).join(SEPARATOR)]);
  }
  return [...byFile].map(([file, tests]) => `${file}: ${tests.join('; ')}`);
}
