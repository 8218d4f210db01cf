import test from 'ava';
import {createOverloadRefusals} from '../../src/relay/index.js';

test('an overloaded daemon gets no requests for a share of its Retry-After, and callers get the whole Retry-After', t => {
  const refusals = createOverloadRefusals();
  refusals.record('a', 'view', 200, 1000);
  t.is(refusals.retryDelayMs('a', 'view', 1040), 160);
  t.is(refusals.retryDelayMs('a', 'view', 1100), undefined);
  t.is(refusals.retryDelayMs('a', 'book', 1000), undefined);
  t.is(refusals.retryDelayMs('b', 'view', 1000), undefined);
});

test('a refusal is valid for a bounded time, however long its Retry-After', t => {
  const refusals = createOverloadRefusals();
  refusals.record('a', 'view', 60_000, 1000);
  t.is(refusals.retryDelayMs('a', 'view', 1149), 59_851);
  t.is(refusals.retryDelayMs('a', 'view', 1150), undefined);
});

/** Slots of an instance, and a load of twice its capacity. */
const SLOTS = 18;
const WORK_MS = 120;
const PER_MS = (2 * SLOTS) / WORK_MS;
const ENTRIES = 9;

/**
 * Longest wait for a slot, in milliseconds; requests that would wait longer are
 * refused.
 */
const QUEUE_MS = 280;

/**
 * Simulates an instance to which several daemons forward twice its capacity.
 */
function simulate(hasRecord: boolean) {
  const seconds = 10;
  const entries = Array.from({length: ENTRIES}, createOverloadRefusals);
  const freeAt = Array.from({length: SLOTS}, () => 0);
  let forwarded = 0;
  let served = 0;
  let offered = 0;
  for (let now = 0; now < seconds * 1000; now++) {
    for (; offered < now * PER_MS; offered++) {
      const entry = entries[offered % ENTRIES];
      if (hasRecord && entry.retryDelayMs('a', 'view', now) !== undefined)
        continue;
      forwarded += 1;
      const first = freeAt.indexOf(Math.min(...freeAt));
      const waitMs = Math.max(0, freeAt[first] - now);
      if (waitMs > QUEUE_MS) {
        entry.record('a', 'view', waitMs, now);
        continue;
      }
      freeAt[first] = Math.max(freeAt[first], now) + WORK_MS;
      served += 1;
    }
  }
  return {forwarded, served, most: (SLOTS * seconds * 1000) / WORK_MS};
}

test('recorded refusals avoid forwards in vain and leave no slot idle', t => {
  const without = simulate(false);
  const withRecord = simulate(true);
  t.true(withRecord.served >= without.served * 0.98);
  t.true(withRecord.served >= withRecord.most * 0.98);
  // Without the record, nearly every refusal costs a forwarded request.
  const refused = (result: typeof without) => result.forwarded - result.served;
  t.true(refused(withRecord) < refused(without) / 2);
});
