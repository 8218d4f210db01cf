import test from 'ava';
import {findTrace, trace} from '../../src/cli/trace.js';

const line = (time: string, instance: string, request: string, event: number) =>
  `   1.2 ${instance} ` +
  JSON.stringify({
    time: `2026-01-01T00:00:0${time}Z`,
    level: 'info',
    event,
    message: 'm',
    instance,
    request,
    reason: 'overloaded',
  });

test('the log lines of a request are sorted by time', t => {
  const text = [
    line('2.500', 'b', 'q1', 5010),
    'q1 in a line that is no event',
    line('2.000', 'a', 'q1', 5003),
    line('1.000', 'a', 'q2', 5002),
  ].join('\n');
  const found = findTrace(text, 'q1');
  t.deepEqual(
    found.map(({instance, event}) => [instance, event]),
    [
      ['a', 5003],
      ['b', 5010],
    ],
  );
  t.regex(trace(text, 'q1').lines[1], /\+500 ms {2}b {2}5010 .*overloaded/);
});

test('a request without log lines is an error', t => {
  t.throws(() => trace('', 'q1'), {message: /no line of the log/});
});
