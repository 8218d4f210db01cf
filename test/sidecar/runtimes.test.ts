import test from 'ava';
import {createRunTimes} from '../../src/sidecar/runtimes.js';

/** Largest error of a quantile, as a share. */
const ERROR = 0.1;

/** Returns run times with a clock that is advanced by hand. */
function startRunTimes() {
  let now = 0;
  const runTimes = createRunTimes(() => now);
  return {
    ...runTimes,
    advance: (ms: number) => void (now += ms),
    record: (count: number, timeMs: number, route = 'book') => {
      for (let i = 0; i < count; i++) runTimes.record(route, timeMs);
    },
  };
}

test('a quantile is at most a tenth too long and never too short', t => {
  const {record, quantileMs} = startRunTimes();
  record(98, 480);
  record(2, 2400);
  const [typical, longest] = [0.5, 0.995].map(q => quantileMs('book', q)!);
  t.true(typical >= 480 && typical <= 480 * (1 + ERROR), String(typical));
  t.true(longest >= 2400 && longest <= 2400 * (1 + ERROR), String(longest));
});

test('a route has no quantiles before some of its requests have run', t => {
  const {record, quantileMs} = startRunTimes();
  record(2, 480);
  record(50, 20, 'view');
  t.is(quantileMs('book', 0.5), undefined);
  record(2, 480);
  t.not(quantileMs('book', 0.5), undefined);
});

test('runs of long ago do not count', t => {
  const {record, quantileMs, advance} = startRunTimes();
  record(100, 2400);
  advance(600_000);
  t.is(quantileMs('book', 0.5), undefined);
  record(10, 480);
  t.true(quantileMs('book', 0.9)! < 600);
});

test('durations beyond the last bucket count as in it', t => {
  const {record, quantileMs} = startRunTimes();
  record(4, 10_000_000);
  t.true(quantileMs('book', 0.5)! > 100_000);
});

test('the number of routes is bounded', t => {
  const {record, quantileMs} = startRunTimes();
  for (let i = 0; i < 300; i++) record(4, 480, `route-${i}`);
  t.is(quantileMs('route-0', 0.5), undefined);
  t.not(quantileMs('route-299', 0.5), undefined);
});

test('nothing is known of the runs of a new incarnation', t => {
  const {record, quantileMs, reset} = startRunTimes();
  record(10, 480);
  reset();
  t.is(quantileMs('book', 0.5), undefined);
});
