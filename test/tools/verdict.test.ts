import {readFileSync} from 'node:fs';
import test from 'ava';
import {
  failedCountOf,
  formatVerdict,
  judgeRun,
  parseKnownFailures,
  parseTap,
  type KnownFailure,
} from '../../tools/verdict/index.js';

/** Output of a run with the given lines and a summary. */
function tapOf(lines: readonly string[], statedFailures: number) {
  const summary = ['', '1..9', '# tests 9', `# fail ${statedFailures}`, ''];
  return ['TAP version 13', ...lines, ...summary].join('\n');
}

function entryOf(title: string, issue = '20', kind = 'test'): KnownFailure {
  return {kind, title, line: 3, command: 'npm test', seen: 'once', issue};
}

function judge(output: string, status: number | null, titles: string[]) {
  const entries = titles.map(title => entryOf(title));
  return judgeRun(parseTap(output), status, entries);
}

const DIAGNOSTICS = ['  ---', '    message: wrong', '  ...'];
const FAILED = ['ok 1 - a › b › c', 'not ok 2 - a › b › d', ...DIAGNOSTICS];

test('a listed failure is passed over and printed with its issue', t => {
  const entries = [entryOf('a › b › d', '38')];
  const verdict = judgeRun(parseTap(tapOf(FAILED, 1)), 1, entries);
  t.is(failedCountOf(verdict), 0);
  t.deepEqual(formatVerdict(verdict), [
    'known failure (issue 38): a › b › d',
    '1 passed, 0 failed',
  ]);
});

test('an unlisted failure fails and is printed with its diagnostics', t => {
  const verdict = judge(tapOf(FAILED, 1), 1, []);
  t.is(failedCountOf(verdict), 1);
  t.deepEqual(formatVerdict(verdict), [
    'not ok 2 - a › b › d',
    ...DIAGNOSTICS,
    'failure: a › b › d',
    '1 passed, 1 failed',
  ]);
});

test('an entry passes over a failure of its whole title and kind only', t => {
  t.is(failedCountOf(judge(tapOf(FAILED, 1), 1, ['a › b', 'd', ''])), 1);
  const bench = [entryOf('a › b › d', '20', 'bench')];
  t.is(failedCountOf(judgeRun(parseTap(tapOf(FAILED, 1)), 1, bench)), 1);
});

test('listed tests that passed are named by file, those without a result by line', t => {
  const lines = [
    'ok 1 - a › b › c',
    'ok 2 - a › b › d',
    'ok 3 - a › b › e # SKIP',
  ];
  const listed = ['a › b › c', 'a › b › d', 'a › b › e', 'a › b › gone'];
  t.deepEqual(formatVerdict(judge(tapOf(lines, 0), 0, listed)), [
    'listed in KNOWN-RED.txt, passed in this run:',
    '  a › b: c; d',
    'listed in KNOWN-RED.txt, not run (renamed, removed or skipped):',
    '  line 3: a › b › e',
    '  line 3: a › b › gone',
    '2 passed, 0 failed',
  ]);
});

test('a run that did not come to its end fails, whatever is listed', t => {
  const listed = ['a › b › d'];
  const faultsOf = (output: string, status: number | null) =>
    judge(output, status, listed).faults;
  t.deepEqual(faultsOf(tapOf(FAILED, 1), 1), []);
  t.deepEqual(faultsOf(tapOf(FAILED, 1), null), [
    'ava ended with status none, by a signal',
  ]);
  t.deepEqual(faultsOf(tapOf(FAILED, 1), 13), ['ava ended with status 13']);
  t.deepEqual(faultsOf(FAILED.join('\n'), 1), [
    'ava ended without a summary: a test that never ended, or a crash',
  ]);
  t.deepEqual(faultsOf(tapOf(FAILED, 3), 1), ['tests without a result: 2']);
  t.deepEqual(faultsOf(tapOf(['ok 1 - a › b › c'], 0), 1), [
    'ava failed without a failed test',
  ]);
  t.deepEqual(faultsOf(tapOf([], 0), 0), ['no test passed']);
});

test('a listed test that timed out or ended its process fails', t => {
  const listed = ['a › b › d'];
  for (const message of [
    'Exited because no new tests completed within the last 120000ms of inactivity',
    'Exiting due to process.exit() when running build/test/a/b.test.js',
  ]) {
    const lines = [...FAILED.slice(0, 2), '  ---', `    message: ${message}`];
    const verdict = judge(tapOf(lines, 1), 1, listed);
    t.deepEqual(verdict.faults, ['the run ended early, in: a › b › d']);
    t.is(failedCountOf(verdict), 1);
  }
});

test('a crash counts as a failure of its own', t => {
  const crash = 'not ok 3 - build/test/a/b.test.js exited due to SIGSEGV';
  const verdict = judge(tapOf([...FAILED, crash], 2), 1, ['a › b › d']);
  t.is(failedCountOf(verdict), 1);
});

const ENTRY = `Failures that are known.

test: a › b › d
  command: npm test; seed 38
  seen: once, beside load:
    503 in place of 200
  issue: 20
`;

test('an entry is read with its fields and their further lines', t => {
  const {entries, findings} = parseKnownFailures(ENTRY);
  t.deepEqual(findings, []);
  t.deepEqual(entries, [
    {
      kind: 'test',
      title: 'a › b › d',
      line: 3,
      command: 'npm test; seed 38',
      seen: 'once, beside load: 503 in place of 200',
      issue: '20',
    },
  ]);
});

test('an entry without one of its fields is a finding with its line', t => {
  const findingsOf = (text: string) => parseKnownFailures(text).findings;
  t.deepEqual(findingsOf(ENTRY.replace('  issue: 20\n', '')), [
    'line 3: no issue: test: a › b › d',
  ]);
  t.deepEqual(findingsOf(ENTRY.replace(/ {2}command.*\n/, '')), [
    'line 3: no command: test: a › b › d',
  ]);
  t.deepEqual(findingsOf(`${ENTRY}\ntest: a › b › e\n  issue:\n`), [
    'line 10: not a line of an entry:   issue:',
    'line 9: no command, seen, issue: test: a › b › e',
  ]);
});

test('a line that belongs to no entry is a finding', t => {
  const findingsOf = (text: string) => parseKnownFailures(text).findings;
  const wrapped = ENTRY.replace('› d\n', '› d\n    and its end\n');
  t.deepEqual(findingsOf(wrapped), [
    'line 4: not a line of an entry:     and its end',
  ]);
  t.deepEqual(findingsOf(`${ENTRY}  isue: 21\n`), [
    'line 8: not a line of an entry:   isue: 21',
  ]);
  t.deepEqual(findingsOf(`${ENTRY}  issue: 21\n`), [
    'line 8: not a line of an entry:   issue: 21',
  ]);
});

test('the list of the project has no finding', t => {
  const text = readFileSync('KNOWN-RED.txt', 'utf8');
  t.deepEqual(parseKnownFailures(text).findings, []);
});
