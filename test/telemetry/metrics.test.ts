import test from 'ava';
import {METRICS, createMetrics} from '../../src/telemetry/index.js';

const answered = {service: 'rota-display', outcome: 'answered'};

test('equal labels share one counter, which is exported once', async t => {
  const metrics = createMetrics();
  metrics.counter(METRICS.requests, answered)();
  metrics.counter(METRICS.requests, {...answered})(2);
  const line =
    'vanillaspool_requests_total{service="rota-display",outcome="answered"} 3';
  t.true((await metrics.text()).includes(line));
  t.true((await metrics.text()).includes(line));
});

test('a histogram counts a value in its bucket', async t => {
  const metrics = createMetrics();
  const labels = {service: 'rota-display', sender: 'caller'};
  metrics.histogram(METRICS.requestSeconds, labels)(0.004);
  const text = await metrics.text();
  t.regex(text, /le="0.0025",service="rota-display",sender="caller"} 0/);
  t.regex(text, /le="0.005",service="rota-display",sender="caller"} 1/);
});

test('undeclared labels and negative increments are refused', t => {
  const metrics = createMetrics();
  const wrong = {service: 'a', caller: 'b'} as unknown as typeof answered;
  t.throws(() => metrics.counter(METRICS.requests, wrong), {
    instanceOf: RangeError,
  });
  t.throws(() => metrics.counter(METRICS.requests, answered)(-1), {
    instanceOf: RangeError,
  });
});
