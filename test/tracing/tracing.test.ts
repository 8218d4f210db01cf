import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import test from 'ava';
import {
  createSpanMemory,
  createTracing,
  parseTraceparent,
} from '../../src/tracing/index.js';

const TRACE = '0af7651916cd43dd8448eb211c80319c';
const PARENT = 'b7ad6b7169203331';

function memoryTracing(share: number) {
  const memory = createSpanMemory();
  const {exporter} = memory;
  const tracing = createTracing({instance: 'a', share, exporter});
  return {memory, tracing};
}

test('the hops of a request form one trace below the span of the caller', async t => {
  const {memory, tracing} = memoryTracing(0);
  const receive = tracing.startSpan('receive', `00-${TRACE}-${PARENT}-01`);
  const forward = tracing.startSpan('forward', receive.traceparent);
  forward.end('error', {reason: 'not-owner'});
  receive.end('ok');
  receive.end('error');
  await tracing.flush();
  const [inner, outer] = memory.spans();
  t.is(memory.spans().length, 2);
  t.like(outer, {name: 'receive', traceId: TRACE, parentSpanId: PARENT});
  t.like(outer, {status: 'ok', instance: 'a'});
  t.like(inner, {name: 'forward', traceId: TRACE, status: 'error'});
  t.is(inner.parentSpanId, outer.spanId);
});

test('an unsampled traceparent is forwarded unchanged and not recorded', async t => {
  const {memory, tracing} = memoryTracing(1);
  const header = `00-${TRACE}-${PARENT}-00`;
  const span = tracing.startSpan('receive', header);
  span.end('ok');
  await tracing.flush();
  t.is(span.traceparent, header);
  t.deepEqual(memory.spans(), []);
});

test('the share applies to new traces and later hops follow the decision', t => {
  const memory = createSpanMemory();
  const random = () => 0.5;
  const common = {instance: 'a', exporter: memory.exporter, random};
  t.true(
    createTracing({...common, share: 0.6}).startSpan('receive', undefined)
      .sampled,
  );
  const some = createTracing({...common, share: 0.4});
  const root = some.startSpan('receive', 'not a traceparent');
  t.false(root.sampled);
  t.false(parseTraceparent(root.traceparent ?? '')?.sampled);
  const all = createTracing({...common, share: 1});
  t.false(all.startSpan('receive', root.traceparent).sampled);
});

test('without an exporter the traceparent header is forwarded unchanged', t => {
  const off = createTracing({instance: 'a', share: 1});
  t.is(off.startSpan('receive', 'anything').traceparent, 'anything');
  t.is(off.startSpan('receive', undefined).traceparent, undefined);
  t.throws(() => createTracing({instance: 'a', share: 1.5}), {
    instanceOf: RangeError,
  });
});

test('malformed traceparent headers are rejected', t => {
  const shapes: ReadonlyArray<readonly [string, boolean]> = [
    [`00-${TRACE}-${PARENT}-01`, true],
    [`01-${TRACE}-${PARENT}-01-more`, true],
    [`00-${TRACE}-${PARENT}-01-more`, false],
    [`ff-${TRACE}-${PARENT}-01`, false],
    [`00-${'0'.repeat(32)}-${PARENT}-01`, false],
    [`00-${TRACE}-${'0'.repeat(16)}-01`, false],
    [`00-${TRACE.toUpperCase()}-${PARENT}-01`, false],
  ];
  for (const [text, good] of shapes) {
    t.is(parseTraceparent(text) !== undefined, good, text);
  }
});

test('spans reach the OTLP endpoint', async t => {
  const bodies: string[] = [];
  const collector = createServer((request, response) => {
    request.setEncoding('utf8');
    request.on('data', (text: string) => bodies.push(text));
    request.on('end', () => response.end('{}'));
  });
  await new Promise<void>(done => collector.listen(0, '127.0.0.1', done));
  const {port} = collector.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}/v1/traces`;
  const tracing = createTracing({instance: 'rota-1', share: 1, url});
  tracing.startSpan('upstream', undefined, {slice: 7}).end('ok');
  await tracing.close();
  collector.close();
  collector.closeAllConnections();
  const body = bodies.join('');
  t.true(body.includes('"upstream"') && body.includes('"rota-1"'));
});
