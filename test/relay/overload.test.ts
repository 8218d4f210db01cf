import test from 'ava';
import {createRandom} from '../../src/load/random.js';
import {
  createCallerRetries,
  createOverloadRefusals,
  createSlots,
  type RefusableRequest,
} from '../../src/relay/index.js';
import {createVirtualTime} from './virtual.js';

const FIRST: RefusableRequest = {node: 'a', route: 'view', isRetry: false};
const RETRY: RefusableRequest = {...FIRST, isRetry: true};

test('an overloaded daemon gets no requests for a share of its Retry-After, and callers get the whole Retry-After', t => {
  const refusals = createOverloadRefusals();
  refusals.record(FIRST, 200, 1000);
  t.is(refusals.retryDelayMs(FIRST, 1040), 160);
  t.is(refusals.retryDelayMs(FIRST, 1100), undefined);
  t.is(refusals.retryDelayMs({...FIRST, route: 'book'}, 1000), undefined);
  t.is(refusals.retryDelayMs({...FIRST, node: 'b'}, 1000), undefined);
});

test('a refusal is valid for a bounded time, however long its Retry-After', t => {
  const refusals = createOverloadRefusals();
  refusals.record(FIRST, 60_000, 1000);
  t.is(refusals.retryDelayMs(FIRST, 1149), 59_851);
  t.is(refusals.retryDelayMs(FIRST, 1150), undefined);
});

test('a refused retry keeps no first attempt away, a refused first attempt both', t => {
  const refusals = createOverloadRefusals();
  refusals.record(RETRY, 200, 1000);
  t.is(refusals.retryDelayMs(RETRY, 1040), 160);
  t.is(refusals.retryDelayMs(FIRST, 1040), undefined);
  refusals.record(FIRST, 200, 1050);
  t.is(refusals.retryDelayMs(FIRST, 1060), 190);
  t.is(refusals.retryDelayMs(RETRY, 1140), 110);
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
      if (hasRecord && entry.retryDelayMs(FIRST, now) !== undefined) continue;
      forwarded += 1;
      const first = freeAt.indexOf(Math.min(...freeAt));
      const waitMs = Math.max(0, freeAt[first] - now);
      if (waitMs > QUEUE_MS) {
        entry.record(FIRST, waitMs, now);
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

/** Share of the remaining time for which a caller obeys a Retry-After. */
const RETRY_AFTER_SHARE = 1 / 3;

/** Results of callers that retry twice, as shares of the callers. */
interface CallerShares {
  readonly inTime: number;
  readonly served: number;
}

/**
 * Simulates callers that retry, at several daemons that share an instance with
 * a queue for its slots, under a load of twice its capacity.
 *
 * @param isRetry Tells the record of refusals whether an attempt is a retry.
 */
async function simulateCallers(
  isRetry: (attempt: number) => boolean,
): Promise<CallerShares> {
  const random = createRandom(11);
  const {after, advance, now} = createVirtualTime();
  const slots = createSlots({slots: SLOTS, clock: now, schedule: after});
  const entries = Array.from({length: ENTRIES}, () => ({
    refusals: createOverloadRefusals(),
    retries: createCallerRetries(),
  }));
  let callers = 0;
  let inTime = 0;
  let served = 0;
  const send = async (sentAt: number, entry: number, attempt: number) => {
    const {refusals, retries} = entries[entry];
    const dueAt = sentAt + 2500;
    const identity = {method: 'GET', target: `/${sentAt}/${entry}`, dueAt};
    const request = {...FIRST, isRetry: isRetry(attempt)};
    const firstAt = retries.firstAttemptAt(identity, now()) ?? now();
    const refuse = (retryAfterMs: number) => {
      retries.recordFailure(identity, firstAt);
      const waitMs = Math.min(
        retryAfterMs,
        (dueAt - now()) * RETRY_AFTER_SHARE,
      );
      if (attempt < 2)
        after(waitMs, () => void send(sentAt, entry, attempt + 1));
    };
    const knownMs = refusals.retryDelayMs(request, now());
    if (knownMs !== undefined) return refuse(knownMs);
    const claim = {
      kind: 'view',
      priority: 2,
      objectiveAt: firstAt + 400,
      deadlineAt: Math.min(dueAt, now() + 1200),
    };
    const grant = await slots.acquire(
      claim,
      () => new AbortController().signal,
    );
    if (grant.kind === 'denied') {
      refusals.record(request, grant.retryAfterMs, now());
      return refuse(grant.retryAfterMs);
    }
    after(WORK_MS * (0.4 + 0.6 * (random() + random())), () => {
      grant.release(true);
      served += 1;
      if (now() <= sentAt + 400) inTime += 1;
    });
  };
  while (now() < 20_000) {
    await advance(1);
    if (random() >= PER_MS) continue;
    callers += 1;
    void send(now(), callers % ENTRIES, 0);
  }
  return {inTime: inTime / callers, served: served / callers};
}

test('under twice the load, refused retries do not cost first attempts their objective', async t => {
  const told = await simulateCallers(attempt => attempt > 0);
  const formerly = await simulateCallers(() => false);
  // Half of the callers fit into the slots.
  t.true(told.inTime >= 0.4);
  t.true(told.inTime > formerly.inTime);
  t.true(told.served >= formerly.served * 0.95);
});
