import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  EMPTY_WINDOW,
  SEQUENCE_WINDOW,
  acceptSequence,
} from '../../src/gateway/sequence-window.js';
import {formatHop, parseHop, type Hop} from '../../src/gateway/hop.js';
import {createReceivedHops} from '../../src/gateway/received-hops.js';
import {
  EMPTY_REPLAY_WINDOW,
  PARTITION_ENTRY_LIMIT,
  REPLAY_WINDOW_MS,
  applyReplay,
  decideReplay,
} from '../../src/gateway/replay.js';
import {decideRetry, isIdempotent} from '../../src/gateway/retry.js';
import {notRun, unknownOutcome} from '../../src/model/index.js';

const SEED = {seed: 20261203, numRuns: 300};

function hop(fields: Partial<Hop> = {}): Hop {
  return {
    receiver: 'p1',
    sender: 'p2',
    sequence: 1,
    sentAt: 1_000_000,
    deadlineMs: 100,
    epoch: 7,
    forwardCount: 1,
    request: 'p2-1',
    caller: '::1',
    ...fields,
  };
}

testProp(
  'a sequence number is accepted at most once, and a recent new one always',
  [
    fc.array(
      fc.oneof(
        fc.integer({min: 1, max: 40}),
        fc.integer({min: SEQUENCE_WINDOW - 20, max: SEQUENCE_WINDOW + 20}),
        fc.integer({min: 1, max: 5 * SEQUENCE_WINDOW}),
      ),
      {minLength: 1, maxLength: 60},
    ),
  ],
  (t, numbers) => {
    const accepted = new Set<number>();
    let window = EMPTY_WINDOW;
    for (const number of numbers) {
      const next = acceptSequence(window, number);
      const recent = number > window.highest - SEQUENCE_WINDOW;
      t.is(next !== undefined, recent && !accepted.has(number));
      if (!next) continue;
      accepted.add(number);
      window = next;
    }
  },
  SEED,
);

test('a hop is read as it was written, and malformed ones are refused', t => {
  t.deepEqual(parseHop(formatHop(hop())), hop());
  for (const text of ['', 'a b', formatHop(hop()) + ' x']) {
    t.is(parseHop(text), undefined);
  }
  t.is(parseHop(formatHop(hop({epoch: -1}))), undefined);
});

test('hops from another time are refused', t => {
  const received = createReceivedHops(() => 1_000_000);
  t.false(received.accept(hop({sentAt: 1_000_000 - 60_001})));
  t.false(received.accept(hop({sentAt: 1_000_000 + 60_001})));
  t.true(received.accept(hop()));
  t.false(received.accept(hop()));
  t.true(received.accept(hop({sender: 'p3'})));
});

testProp(
  'a request that may have been run is sent again only if it is idempotent',
  [
    fc.boolean(),
    fc.constantFrom('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD'),
    fc.boolean(),
    fc.boolean(),
    fc.boolean(),
  ],
  (t, sent, method, replayable, alternative, allowed) => {
    let asked = 0;
    const failure = sent
      ? unknownOutcome('upstream-reset', '')
      : notRun('draining', '');
    const idempotent = isIdempotent(method);
    const attempt = {failure, idempotent, replayable, alternative};
    const verdict = decideRetry(attempt, () => {
      asked += 1;
      return allowed;
    });
    const harmless = !sent || (method !== 'POST' && method !== 'PATCH');
    const possible = harmless && replayable && alternative;
    t.is(verdict, possible && allowed ? 'retry' : 'give-up');
    t.is(asked, possible ? 1 : 0);
  },
  SEED,
);

testProp(
  'a request with an idempotency key is run again only if it was not run',
  [
    fc.array(
      fc.record({
        id: fc.constantFrom('a', 'b'),
        kind: fc.constantFrom('answered', 'unknown', 'forget', 'long'),
      }),
      {minLength: 1, maxLength: 20},
    ),
  ],
  (t, steps) => {
    let window = EMPTY_REPLAY_WINDOW;
    const run = new Map<string, 'repeat' | 'ended'>();
    for (const {id, kind} of steps) {
      const verdict = decideReplay(window, id, 's', 1);
      t.is(verdict.kind, run.get(id) ?? 'run');
      t.is(
        decideReplay(window, id, 'other', 1).kind,
        run.has(id) ? 'mismatch' : 'run',
      );
      if (verdict.kind !== 'run') continue;
      window = applyReplay(window, {kind: 'begin', id, subject: 's'}, 1);
      t.is(decideReplay(window, id, 's', 1).kind, 'wait');
      if (kind === 'forget') {
        window = applyReplay(window, {kind: 'forget', id}, 1);
        continue;
      }
      const answer = {status: 200, headers: [], body: Buffer.from('ok')};
      const fate =
        kind === 'unknown'
          ? ({kind} as const)
          : ({
              kind: 'answered',
              answer: kind === 'long' ? undefined : answer,
            } as const);
      window = applyReplay(window, {kind: 'end', id, result: fate}, 1);
      run.set(id, kind === 'answered' ? 'repeat' : 'ended');
    }
  },
  SEED,
);

test('the replay window is bounded and keeps what still runs', t => {
  let window = EMPTY_REPLAY_WINDOW;
  const body = Buffer.alloc(16 * 1024);
  const answer = {status: 200, headers: [], body};
  const begin = (id: string) => {
    window = applyReplay(window, {kind: 'begin', id, subject: 's'}, 1);
  };
  begin('running');
  for (let i = 0; i < 100 * PARTITION_ENTRY_LIMIT; i++) {
    const fate = {kind: 'answered', answer} as const;
    begin(`id ${i}`);
    window = applyReplay(window, {kind: 'end', id: `id ${i}`, result: fate}, 1);
  }
  const total = window.partitions.reduce((sum, part) => sum + part.bytes, 0);
  t.true(total <= 2 * 1024 * 1024);
  t.is(decideReplay(window, 'running', 's', 1).kind, 'wait');
  t.is(decideReplay(window, 'id 25599', 's', 1).kind, 'repeat');
  const late = 2 + REPLAY_WINDOW_MS;
  t.is(decideReplay(window, 'id 25599', 's', late).kind, 'run');
});
