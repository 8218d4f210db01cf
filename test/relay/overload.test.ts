import test from 'ava';
import {createOverloadRefusals} from '../../src/relay/index.js';

test('a daemon without room is not asked again for a part of the time that it says; callers are told all of it', t => {
  const pressure = createOverloadRefusals();
  pressure.record('a', 'view', 200, 1000);
  t.is(pressure.retryDelayMs('a', 'view', 1040), 160);
  t.is(pressure.retryDelayMs('a', 'view', 1100), undefined);
  t.is(pressure.retryDelayMs('a', 'book', 1000), undefined);
  t.is(pressure.retryDelayMs('b', 'view', 1000), undefined);
});

test('a refusal is relied on for a short time, whatever the daemon says', t => {
  const pressure = createOverloadRefusals();
  pressure.record('a', 'view', 60_000, 1000);
  t.is(pressure.retryDelayMs('a', 'view', 1149), 59_851);
  t.is(pressure.retryDelayMs('a', 'view', 1150), undefined);
});

/** Slots of an instance, and what it is offered: twice what it can do. */
const SLOTS = 18;
const WORK_MS = 120;
const PER_MS = (2 * SLOTS) / WORK_MS;
const ENTRIES = 9;

/** Longest wait for a slot; what would wait longer is refused. */
const QUEUE_MS = 280;

/** Plays an instance that is offered twice its load by daemons. */
function play(remembers: boolean) {
  const seconds = 10;
  const entries = Array.from({length: ENTRIES}, createOverloadRefusals);
  const freeAt = Array.from({length: SLOTS}, () => 0);
  let asked = 0;
  let served = 0;
  let offered = 0;
  for (let now = 0; now < seconds * 1000; now++) {
    for (; offered < now * PER_MS; offered++) {
      const entry = entries[offered % ENTRIES];
      if (remembers && entry.retryDelayMs('a', 'view', now) !== undefined)
        continue;
      asked += 1;
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
  return {asked, served, most: (SLOTS * seconds * 1000) / WORK_MS};
}

test('refusals that are remembered spare questions and leave no slot idle', t => {
  const without = play(false);
  const withMemory = play(true);
  t.true(withMemory.served >= without.served * 0.98);
  t.true(withMemory.served >= withMemory.most * 0.98);
  // Nearly every refusal took a question before.
  const refused = (played: typeof without) => played.asked - played.served;
  t.true(refused(withMemory) < refused(without) / 2);
});
