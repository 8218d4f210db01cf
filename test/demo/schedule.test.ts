import test from 'ava';
import {runSchedule, type ScheduledStep} from '../../demo/schedule.js';
import {SCENARIOS} from '../../demo/scenarios.js';
import {createVirtualTime} from '../relay/virtual.js';

/**
 * Runs a schedule in virtual time, with the duration of each step, and returns
 * when the steps started.
 */
async function startsOf(
  steps: readonly ScheduledStep[],
  durationsMs: Readonly<Record<string, number>>,
) {
  const {after, advance, now} = createVirtualTime();
  const sleep = (timeMs: number) =>
    new Promise<void>(resolve => after(timeMs, resolve));
  const startedAt: Record<string, number> = {};
  const run = async ({name}: ScheduledStep) => {
    startedAt[name] = now();
    await sleep(durationsMs[name] ?? 0);
    if (name === 'fails') throw new Error('exit code 3');
  };
  const ended = runSchedule(steps, run, sleep);
  for (let step = 0; step < 400; step++) await advance(100);
  return {startedAt, failures: await ended};
}

test('a step starts at its time if the steps before it have ended', async t => {
  const steps = [
    {atMs: 1000, name: 'first'},
    {atMs: 3000, name: 'second', after: ['first']},
  ];
  const {startedAt} = await startsOf(steps, {first: 500});
  t.deepEqual(startedAt, {first: 1000, second: 3000});
});

test('a step waits for the end of the steps that it comes after, failed ones included', async t => {
  const steps = [
    {atMs: 1000, name: 'fails'},
    {atMs: 2000, name: 'other'},
    {atMs: 3000, name: 'last', after: ['fails']},
  ];
  const {startedAt, failures} = await startsOf(steps, {fails: 9000});
  t.deepEqual(startedAt, {fails: 1000, other: 2000, last: 10_000});
  t.deepEqual(failures, ['fails: exit code 3']);
});

test('a step that comes after an unknown one is refused', async t => {
  const steps = [{atMs: 0, name: 'last', after: ['gone']}];
  await t.throwsAsync(startsOf(steps, {}), {instanceOf: RangeError});
});

test('the platform is not taken away while a command of an operator needs it', async t => {
  const drain = 'drain an instance';
  const outage = 'interrupt the platform';
  const {startedAt} = await startsOf(SCENARIOS, {[drain]: 12_000});
  t.is(startedAt[outage], startedAt[drain] + 12_000);
  const quick = await startsOf(SCENARIOS, {[drain]: 2000});
  t.is(quick.startedAt[outage], 10_000);
});
