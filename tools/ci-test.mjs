// Runs the tests, prints the failures and ends with one line of counts. Failures
// listed in KNOWN-RED.txt are printed but do not fail the run.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';

const run = spawnSync('npx', ['ava', '--tap'], {
  encoding: 'utf8',
  maxBuffer: 256 * 1024 * 1024,
});
const lines = run.stdout.split('\n');
const known = existsSync('KNOWN-RED.txt')
  ? readFileSync('KNOWN-RED.txt', 'utf8')
      .split('\n')
      .filter(line => line.startsWith('test: '))
      .map(line => line.slice('test: '.length).trim())
  : [];
const titleOf = line =>
  line
    .replace(/^(not )?ok \d+ - /, '')
    .replace(/ # .*$/, '')
    .trim();
const passed = lines.filter(
  line => /^ok \d+/.test(line) && !/# (SKIP|TODO)/.test(line),
);
const failed = lines.filter(line => /^not ok \d+/.test(line));
const unexpected = failed.filter(line => !known.includes(titleOf(line)));
if (unexpected.length > 0 || (run.status !== 0 && failed.length === 0)) {
  console.log(run.stdout);
  console.log(run.stderr);
}
for (const line of failed) {
  const kind = known.includes(titleOf(line)) ? 'known failure' : 'failure';
  console.log(`${kind}: ${titleOf(line)}`);
}
console.log(`${passed.length} passed, ${unexpected.length} failed`);
const crashed = run.status !== 0 && failed.length === 0;
process.exit(unexpected.length > 0 || crashed || passed.length === 0 ? 1 : 0);
