// Runs all tests, after a build, and ends with one line of counts; `npm test`
// and CI call it. Failures of tests that KNOWN-RED.txt lists are printed with
// their issue and passed over.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import {
  failedCountOf,
  formatVerdict,
  judgeRun,
  parseKnownFailures,
  parseTap,
} from '../build/tools/verdict/index.js';

const LIST = 'KNOWN-RED.txt';
const MAX_OUTPUT_BYTES = 256 * 1024 * 1024;

if (process.argv.length > 2) {
  console.error(
    'runs all tests; for some of them: npx ava FILE, after a build',
  );
  process.exit(2);
}
const text = existsSync(LIST) ? readFileSync(LIST, 'utf8') : '';
const {entries, findings} = parseKnownFailures(text);
if (findings.length > 0) {
  for (const finding of findings) console.log(`${LIST}, ${finding}`);
  console.log(`0 passed, ${findings.length} failed`);
  process.exit(1);
}
console.log('running all tests; failures are printed at the end');
const run = spawnSync('npx', ['ava', '--tap'], {
  encoding: 'utf8',
  maxBuffer: MAX_OUTPUT_BYTES,
});
const verdict = judgeRun(parseTap(run.stdout ?? ''), run.status, entries);
if (verdict.faults.length > 0) console.log(run.stdout);
if (failedCountOf(verdict) > 0) console.log(run.stderr);
if (run.error) console.log(String(run.error));
for (const line of formatVerdict(verdict)) console.log(line);
process.exit(failedCountOf(verdict) > 0 ? 1 : 0);
