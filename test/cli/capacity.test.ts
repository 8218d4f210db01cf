import test from 'ava';
import {capacity} from '../../src/cli/capacity.js';

const slots = (time: string, instance: string, fields: object) =>
  `   1.2 ${instance} ` +
  JSON.stringify({
    time: `2026-01-01T00:00:0${time}Z`,
    event: 5012,
    instance,
    service: 'stock',
    offeredMs: 4000,
    inTimeMs: 1000,
    lateMs: 2000,
    failedMs: 0,
    abandonedMs: 0,
    idleMs: 1000,
    waitedMs: 50,
    started: 10,
    refused: 'overloaded=3',
    ...fields,
  });

const route = (time: string, fields: object) =>
  JSON.stringify({
    time: `2026-01-01T00:00:0${time}Z`,
    event: 5013,
    service: 'stock',
    route: 'view',
    inTime: 5,
    late: 2,
    failed: 'overloaded=1 no-owner=4',
    ...fields,
  });

test('the use of slots is summed by second and service', t => {
  const text = [
    slots('1.000', 'a', {}),
    slots('1.500', 'b', {idleMs: 3000, inTimeMs: 0, lateMs: 1000}),
    slots('2.500', 'a', {refused: ''}),
    route('1.200', {}),
    route('1.300', {failed: 'overloaded=2'}),
    '{"event":5012, cut off',
    '{"event":5002}',
  ].join('\n');
  const {report, lines} = capacity(text);
  const {slots: seconds, requests} = report as {
    slots: {second: number; idle: number; refused: object}[];
    requests: {late: number; failed: object}[];
  };
  t.deepEqual(
    seconds.map(({second, idle, refused}) => [second, idle, refused]),
    [
      [0, 4000, {overloaded: 6}],
      [1, 1000, {}],
    ],
  );
  t.deepEqual(
    requests.map(({late, failed}) => [late, failed]),
    [[4, {overloaded: 3, 'no-owner': 4}]],
  );
  // In time, late, failed, abandoned and idle of 8,000 ms.
  t.true(lines.some(line => /stock +2 +8000 +13 +38 +0 +0 +50 /.test(line)));
});

test('a log without lines on slots is an error', t => {
  t.throws(() => capacity('{"event":5002}'), {message: /use of slots/});
});
