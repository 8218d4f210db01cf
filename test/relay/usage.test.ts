import test from 'ava';
import {
  createResultMeter,
  createSlotMeter,
  createSlots,
} from '../../src/relay/index.js';
import {createVirtualTime} from './virtual.js';

test('all time of the slots is accounted for while requests are refused', async t => {
  const {after, advance, now} = createVirtualTime();
  const meter = createSlotMeter(now);
  const slots = createSlots({
    slots: 2,
    clock: now,
    schedule: after,
    onChange: ({slots: count, running}) =>
      meter.recordOccupancy(count, running.length),
  });
  meter.recordOccupancy(2, 0);
  const arrive = async () => {
    const claim = {
      kind: 'view',
      priority: 1,
      objectiveAt: now() + 150,
      deadlineAt: now() + 1000,
    };
    const grant = await slots.acquire(
      claim,
      () => new AbortController().signal,
    );
    if (grant.kind === 'denied') return meter.recordRefusal(grant.reason);
    const startedAt = now();
    after(100, () => {
      grant.release(true);
      const use = now() <= claim.objectiveAt ? 'inTime' : 'late';
      meter.recordEnd(use, now() - startedAt);
    });
  };
  for (let arrival = 0; arrival < 40; arrival++) {
    void arrive();
    for (let step = 0; step < 20; step++) await advance(1);
  }
  for (let step = 0; step < 2000; step++) await advance(1);
  const {offeredMs, idleMs, usedMs, refused} = meter.take();
  const {inTime, late, failed, abandoned} = usedMs;
  t.is(offeredMs, 2 * now());
  // A start can be seen one step of the virtual time late.
  const countedMs = idleMs + inTime + late + failed + abandoned;
  t.true(Math.abs(countedMs - offeredMs) <= 0.01 * offeredMs);
  t.true(inTime > 0);
  t.true((refused.get('overloaded') ?? 0) > 0);
  t.is(meter.take().offeredMs, 0);
});

test('results are counted by route, failures by reason', t => {
  const meter = createResultMeter();
  meter.record('stock', 'view', true);
  meter.record('stock', 'view', false);
  meter.record('stock', 'view', false, 'overloaded');
  meter.record('stock', 'view', false, 'overloaded');
  meter.record('desk', 'book', true);
  const [view, book] = meter.take();
  t.deepEqual([view.inTime, view.late], [1, 1]);
  t.is(view.failed.get('overloaded'), 2);
  t.is(book.inTime, 1);
  t.deepEqual(meter.take(), []);
});
