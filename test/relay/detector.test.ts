import test from 'ava';
import fc from 'fast-check';
import {
  NEVER_PROBED,
  applyLoadEvent,
  chooseControlPeer,
  chooseInstance,
  UNKNOWN_LOAD,
  countOthers,
  decidePending,
  isLost,
  updateRoundTrip,
  applyObservation,
  probeTimeouts,
  peerStatusOf,
  type PeerState,
  type PendingRequest,
  type ProbeResult,
  type PeerStatus,
} from '../../src/relay/index.js';

const GOOD = {heard: 8, waiting: 1, isAlone: false, lateMs: 0};

/** Probes once; the probe ends with a result after its timeout. */
function probeOnce(
  state: PeerState,
  kind: 'refused' | 'unconnected' | 'unanswered',
  now: number,
  observer = GOOD,
): {state: PeerState; now: number} {
  const probing = applyObservation(state, {kind: 'probe-started'}, now);
  const {connectMs, answerMs} = probeTimeouts(state, undefined, now);
  const waitMs = {refused: 1, unconnected: connectMs, unanswered: answerMs};
  const end = now + waitMs[kind];
  const reply: ProbeResult = {kind};
  const ended = applyObservation(
    probing,
    {kind: 'probe-ended', reply, observer},
    end,
  );
  return {state: ended, now: end};
}

/** Probes several times in a row. */
function probeAll(
  kinds: readonly ('refused' | 'unconnected' | 'unanswered')[],
  observer = GOOD,
): {state: PeerState; now: number} {
  return kinds.reduce(
    (at, kind) => probeOnce(at.state, kind, at.now, observer),
    {state: NEVER_PROBED, now: 0},
  );
}

const PENDING: PendingRequest = {
  pendingMs: 900,
  isSent: true,
  isRepeatable: false,
  hasAlternative: true,
  lateMs: 0,
};

const statusWith = (liveness: PeerStatus['liveness']): PeerStatus => ({
  liveness,
  quietMs: 900,
  failingMs: 500,
});

test('a machine that accepts no connections has failed after a second of probes', t => {
  const {state, now} = probeAll(['unconnected', 'unconnected']);
  t.is(state.liveness, 'unreachable');
  t.true(now <= 1000);
});

test('one lost packet or one refusal does not make a daemon failed', t => {
  t.is(probeAll(['unconnected']).state.liveness, 'suspect');
  t.is(probeAll(['refused']).state.liveness, 'suspect');
  t.is(probeAll(['refused', 'refused']).state.liveness, 'refused');
});

test('a daemon whose machine accepts connections is never unreachable', t => {
  t.is(probeAll(['unanswered']).state.liveness, 'suspect');
  const unresponsive = probeAll([
    'unanswered',
    'unanswered',
    'unanswered',
  ]).state;
  t.is(unresponsive.liveness, 'unresponsive');
  const back = probeAll(['unconnected', 'unconnected', 'unanswered']).state;
  t.is(back.liveness, 'suspect');
});

// Guards against requests that are given up for failures of an earlier process
// (LOST).
test('an accepted connection ends what was found of the process before', t => {
  for (const kind of ['refused', 'unconnected'] as const) {
    const {state, now} = probeAll([kind, kind]);
    const accepted = applyObservation(
      state,
      {kind: 'connection-accepted'},
      now + 10,
    );
    t.is(accepted.liveness, 'suspect');
    const status = peerStatusOf(accepted, now + 900);
    t.is(decidePending(status, {...PENDING, pendingMs: 200}).kind, 'wait');
    t.is(decidePending(status, PENDING).kind, 'probe');
    t.false(isLost(peerStatusOf(accepted, now + 60_000)));
    // A process that ends again is found as soon as the first.
    const first = probeOnce(accepted, kind, now + 20);
    t.is(first.state.liveness, 'suspect');
    const again = probeOnce(first.state, kind, first.now);
    t.is(again.state.liveness, state.liveness);
    t.is(again.state.failingSince, state.failingSince);
  }
});

test('a probe that found no process is ignored if a connection was accepted since', t => {
  const {state, now} = probeAll(['refused', 'refused']);
  const probing = applyObservation(state, {kind: 'probe-started'}, now + 1);
  const accepted = applyObservation(
    probing,
    {kind: 'connection-accepted'},
    now + 2,
  );
  const ended = applyObservation(
    accepted,
    {kind: 'probe-ended', reply: {kind: 'refused'}, observer: GOOD},
    now + 3,
  );
  t.is(ended.liveness, 'suspect');
  t.is(ended.failureCount, 0);
});

test('an accepted connection does not clear a process that does not answer', t => {
  const {state, now} = probeAll(['unanswered', 'unanswered']);
  const observation = {kind: 'connection-accepted'} as const;
  t.is(applyObservation(state, observation, now), state);
});

test('an unreliable observer counts no timeout as a failure', t => {
  const observers = [
    {heard: 0, waiting: 2, isAlone: false, lateMs: 0},
    {heard: 0, waiting: 0, isAlone: false, lateMs: 0},
    {heard: 8, waiting: 1, isAlone: false, lateMs: 300},
  ];
  for (const unreliable of observers) {
    const {state} = probeAll(Array(5).fill('unconnected'), unreliable);
    t.is(state.liveness, 'alive');
    t.false(isLost(peerStatusOf(state, 60_000)));
    const refused = probeAll(['refused', 'refused'], unreliable).state;
    t.is(refused.liveness, 'refused');
  }
});

test('a timeout counts if no third daemon is known', t => {
  const alone = {heard: 0, waiting: 0, isAlone: true, lateMs: 0};
  const unreachable = probeAll(['unconnected', 'unconnected'], alone).state;
  t.is(unreachable.liveness, 'unreachable');
});

test('the control peer is any third daemon that has not failed', t => {
  const lost = probeAll(['unconnected', 'unconnected']).state;
  const responding = applyObservation(
    NEVER_PROBED,
    {kind: 'answer-received'},
    10,
  );
  const all = new Map([
    ['peer', responding],
    ['lost', lost],
    ['old', responding],
    ['own', responding],
  ]);
  const choose = (others: string[], random: number) =>
    chooseControlPeer(all, others, ['own', 'peer'], random);
  const known = [...all.keys(), 'unheard'];
  const chosen = [0, 0.3, 0.49, 0.5, 0.99].map(at => choose(known, at));
  t.deepEqual(chosen, ['old', 'old', 'old', 'unheard', 'unheard']);
  t.is(choose(['own', 'peer', 'lost'], 0.5), undefined);
});

test('daemons that time out together are not failed; a single one among many is', t => {
  const probing = applyObservation(NEVER_PROBED, {kind: 'probe-started'}, 100);
  const responding = applyObservation(
    NEVER_PROBED,
    {kind: 'answer-received'},
    300,
  );
  const before = applyObservation(NEVER_PROBED, {kind: 'answer-received'}, 50);
  const all = new Map([
    ['a', probing],
    ['b', probing],
    ['c', probing],
    ['d', before],
  ]);
  t.deepEqual(countOthers(all, 'a', 400), {heard: 0, waiting: 2});
  const one = new Map([
    ['a', probing],
    ['b', responding],
    ['c', responding],
  ]);
  t.deepEqual(countOthers(one, 'a', 400), {heard: 2, waiting: 0});
});

test('a failed daemon does not make the observer unreliable', t => {
  const {state, now} = probeAll(['unconnected', 'unconnected']);
  const probing = applyObservation(NEVER_PROBED, {kind: 'probe-started'}, now);
  const all = new Map([
    ['lost', state],
    ['gone', state],
    ['next', probing],
  ]);
  t.is(countOthers(all, 'next', now + 10).waiting, 0);
});

test('an answer to any request ends a suspicion', t => {
  const {state, now} = probeAll(['unconnected', 'unconnected']);
  const back = applyObservation(state, {kind: 'answer-received'}, now + 1);
  t.is(back.liveness, 'alive');
  // A probe that started before the answer has no effect.
  const probing = applyObservation(NEVER_PROBED, {kind: 'probe-started'}, 0);
  const answered = applyObservation(probing, {kind: 'answer-received'}, 200);
  const reply: ProbeResult = {kind: 'unconnected'};
  const ended = {kind: 'probe-ended', reply, observer: GOOD} as const;
  t.is(applyObservation(answered, ended, 300).liveness, 'alive');
});

// Guards against live daemons behind full links that are taken for lost (LOST).
test('an answer after the timeout of its probe ends the suspicion', t => {
  for (const kind of ['unconnected', 'unanswered'] as const) {
    const {state, now} = probeAll([kind, kind, kind]);
    const late = {kind: 'answered-late', startedAt: now - 1500} as const;
    const back = applyObservation(state, late, now);
    t.is(back.liveness, 'alive');
    t.false(isLost(peerStatusOf(back, now)));
    t.true(probeTimeouts(back, undefined, now).connectMs >= 1200);
  }
});

// Guards against a verdict on an ended process that its own late answer ends.
test('a late answer or acceptance of a process that has ended does not end the verdict', t => {
  const first = probeOnce(NEVER_PROBED, 'unconnected', 0);
  const second = probeOnce(first.state, 'refused', first.now + 1);
  const {state, now} = probeOnce(second.state, 'refused', second.now + 1);
  t.is(state.liveness, 'refused');
  for (const kind of ['answered-late', 'connection-accepted'] as const) {
    const old = applyObservation(state, {kind, startedAt: 0}, now + 5);
    t.is(old.liveness, 'refused');
    const next = applyObservation(state, {kind, startedAt: now + 1}, now + 5);
    t.not(next.liveness, 'refused');
  }
});

test('probe timeouts grow with the round-trip time', t => {
  const quick = updateRoundTrip(undefined, 20, 0);
  t.is(probeTimeouts(NEVER_PROBED, quick, 10).connectMs, 300);
  const slow = updateRoundTrip(updateRoundTrip(undefined, 500, 0), 700, 10);
  const own = {...NEVER_PROBED, roundTrip: slow};
  t.true(probeTimeouts(own, quick, 20).connectMs > 700);
  t.true(probeTimeouts(NEVER_PROBED, slow, 20).connectMs > 700);
  t.is(probeTimeouts(own, slow, 60_000).connectMs, 300);
});

test('a request that may run only once is not aborted on a suspicion', t => {
  for (const liveness of [
    'alive',
    'suspect',
    'unresponsive',
    'unreachable',
  ] as const) {
    t.not(decidePending(statusWith(liveness), PENDING).kind, 'give-up');
  }
  t.is(decidePending(statusWith('refused'), PENDING).kind, 'give-up');
});

test('an unsent request is aborted when its daemon is suspected', t => {
  const unsent = {...PENDING, isSent: false};
  t.is(decidePending(statusWith('suspect'), unsent).kind, 'give-up');
  const keyed = {...unsent, hasAlternative: false};
  t.not(decidePending(statusWith('suspect'), keyed).kind, 'give-up');
  const young = {...unsent, pendingMs: 200};
  t.is(decidePending(statusWith('suspect'), young).kind, 'wait');
});

test('a sent request is not aborted when its daemon is only suspected', t => {
  for (const isRepeatable of [false, true]) {
    for (const hasAlternative of [false, true]) {
      const pending = {...PENDING, isRepeatable, hasAlternative};
      t.is(decidePending(statusWith('suspect'), pending).kind, 'probe');
      const young = {...pending, pendingMs: 200};
      t.is(decidePending(statusWith('suspect'), young).kind, 'wait');
    }
  }
});

test('a repeatable request is aborted at a failed daemon, with keys and without', t => {
  const unsent = {...PENDING, isSent: false};
  const repeatable = {...PENDING, isRepeatable: true};
  for (const pending of [unsent, repeatable]) {
    for (const hasAlternative of [false, true]) {
      for (const liveness of ['unreachable', 'unresponsive'] as const) {
        const one = {...pending, hasAlternative};
        // A live process may be running it, and no other instance could.
        const isKept = one.isSent && !hasAlternative;
        const step = decidePending(statusWith(liveness), one);
        t.is(step.kind, isKept ? 'probe' : 'give-up');
        // Its keys are lost by then, but it may be late by a full link.
        const lost = {...statusWith(liveness), failingMs: 9900};
        t.is(decidePending(lost, one).kind, isKept ? 'probe' : 'give-up');
        const silent = {...statusWith(liveness), failingMs: 10_000};
        t.is(decidePending(silent, one).kind, 'give-up');
      }
    }
  }
});

test('a check whose timer is late neither aborts a request nor starts a probe', t => {
  for (const liveness of [
    'alive',
    'suspect',
    'unresponsive',
    'unreachable',
    'refused',
  ] as const) {
    for (const isRepeatable of [false, true]) {
      for (const isSent of [false, true]) {
        const pending = {...PENDING, isSent, isRepeatable};
        const late = decidePending(statusWith(liveness), {
          ...pending,
          lateMs: 100,
        });
        t.is(late.kind, 'wait');
        const inTime = {...pending, lateMs: 99};
        t.not(decidePending(statusWith(liveness), inTime).kind, 'wait');
      }
    }
  }
});

test('a daemon is not probed while it answers requests', t => {
  const responding = {...statusWith('alive'), quietMs: 100};
  t.deepEqual(decidePending(responding, PENDING), {kind: 'wait', ms: 300});
  t.is(decidePending(statusWith('alive'), PENDING).kind, 'probe');
});

test('a suspected instance is avoided if there is another, until it is reachable', t => {
  const late = applyLoadEvent(UNKNOWN_LOAD, {kind: 'suspected'}, 0);
  t.is(late.avoidedUntil, 0);
  const choice = (node: string, load = UNKNOWN_LOAD) => ({
    node,
    isSameDomain: node === 'suspect',
    load,
  });
  const choices = [choice('suspect', late), choice('other')];
  t.is(chooseInstance(choices, 1)?.node, 'other');
  const back = applyLoadEvent(late, {kind: 'reachable'}, 2);
  t.is(
    chooseInstance([choice('suspect', back), choice('other')], 2)?.node,
    'suspect',
  );
});

test('a member is lost only after seconds of failed probes', t => {
  const unreachable = {...statusWith('unreachable'), failingMs: 1500};
  t.false(isLost(unreachable));
  t.true(isLost({...unreachable, failingMs: 2500}));
  t.false(isLost({...statusWith('suspect'), failingMs: 2500}));
  t.false(isLost({...statusWith('unresponsive'), failingMs: 2500}));
  t.true(isLost({...statusWith('unresponsive'), failingMs: 5500}));
  t.false(isLost({...statusWith('alive'), failingMs: 60_000}));
});

/**
 * Probes every second and returns the first time at which the member is lost.
 */
function lostAt(
  count: number,
  kindOf: (turn: number) => 'refused' | 'unconnected' | 'unanswered',
  observerOf: (turn: number) => typeof GOOD,
): number | undefined {
  let state = NEVER_PROBED;
  for (let turn = 0; turn < count; turn++) {
    const kind = kindOf(turn);
    const probed = probeOnce(state, kind, turn * 1000, observerOf(turn));
    ({state} = probed);
    const soon = turn * 1000 + 999;
    if (isLost(peerStatusOf(state, soon))) return soon;
  }
  return undefined;
}

const FAULTY = {heard: 0, waiting: 60, isAlone: false, lateMs: 900};

test('a member is not lost by one failed probe, however long the observer is unreliable', t => {
  for (const kind of ['unconnected', 'unanswered'] as const) {
    const once = (turn: number) => (turn === 0 ? GOOD : FAULTY);
    t.is(
      lostAt(60, () => kind, once),
      undefined,
    );
    const first = probeOnce(NEVER_PROBED, kind, 0);
    t.false(isLost(peerStatusOf(first.state, 60_000)));
    t.false(isLost({...statusWith('suspect'), failingMs: 60_000}));
  }
});

test('the time in which the observer is unreliable does not count as failure time', t => {
  const from = 2;
  const to = 20;
  const between = (turn: number) => (turn >= from && turn < to ? FAULTY : GOOD);
  for (const kind of ['unconnected', 'unanswered'] as const) {
    const well = lostAt(
      60,
      () => kind,
      () => GOOD,
    );
    const unwell = lostAt(60, () => kind, between);
    t.is(unwell! - well!, (to - from) * 1000);
  }
});

test('a failed member is lost within the time that the proof takes', t => {
  const at = (kind: 'refused' | 'unconnected' | 'unanswered') =>
    lostAt(
      60,
      () => kind,
      () => GOOD,
    );
  t.true(at('refused')! <= 3000);
  t.true(at('unconnected')! <= 3000);
  t.true(at('unanswered')! <= 6000);
});

test('only two refusals or two connect timeouts in a row make a daemon failed', t => {
  const reply = fc.oneof(
    fc.constant<ProbeResult>({kind: 'refused'}),
    fc.constant<ProbeResult>({kind: 'unconnected'}),
    fc.constant<ProbeResult>({kind: 'unanswered'}),
    fc.nat(900).map((tookMs): ProbeResult => ({kind: 'answered', tookMs})),
  );
  const replies = fc.array(reply, {maxLength: 12});
  fc.assert(
    fc.property(replies, all => {
      let state = NEVER_PROBED;
      let sinceAccepted: string[] = [];
      for (const [turn, reply] of all.entries()) {
        const now = turn * 2000;
        state = applyObservation(state, {kind: 'probe-started'}, now);
        const ended = {kind: 'probe-ended', reply, observer: GOOD} as const;
        state = applyObservation(state, ended, now + 1000);
        const isAlive =
          reply.kind === 'answered' || reply.kind === 'unanswered';
        sinceAccepted = isAlive ? [] : [...sinceAccepted, reply.kind];
        const {liveness} = state;
        if (liveness !== 'unreachable' && liveness !== 'refused') continue;
        const kind = liveness === 'unreachable' ? 'unconnected' : 'refused';
        const pairs = sinceAccepted.some(
          (one, at) => one === kind && sinceAccepted[at + 1] === kind,
        );
        if (!pairs) return false;
      }
      return true;
    }),
    {seed: 15, numRuns: 500},
  );
  t.pass();
});

test('a probe that found no machine does not count once its connection was accepted', t => {
  const started = applyObservation(NEVER_PROBED, {kind: 'probe-started'}, 0);
  // Accepted after the time limit, while another daemon is probed to compare.
  const accepted = applyObservation(
    started,
    {kind: 'connection-accepted'},
    350,
  );
  const reply = {kind: 'unconnected'} as const;
  const ended = applyObservation(
    accepted,
    {kind: 'probe-ended', reply, observer: GOOD},
    600,
  );
  t.is(ended.liveness, 'alive');
  t.is(ended.lastFailure, undefined);
});

// Guards against a frozen daemon that is never found, as its machine accepts each
// connection after the time limit of its probe, and that starts the count again.
for (const acceptMs of [400, 800, 1100]) {
  test(`a process that never answers has failed though its machine accepts after ${acceptMs} ms`, t => {
    let state = NEVER_PROBED;
    const found: string[] = [];
    for (let now = 0; now < 20_000;) {
      state = applyObservation(state, {kind: 'probe-started'}, now);
      const {connectMs, answerMs} = probeTimeouts(state, undefined, now);
      const isInTime = acceptMs < connectMs;
      const accept = (at: number) =>
        applyObservation(state, {kind: 'connection-accepted'}, at);
      if (isInTime) state = accept(now + acceptMs);
      const endedAt = now + (isInTime ? answerMs : connectMs);
      state = applyObservation(
        state,
        {
          kind: 'probe-ended',
          reply: {kind: isInTime ? 'unanswered' : 'unconnected'},
          observer: GOOD,
        },
        endedAt,
      );
      if (!isInTime) state = accept(now + acceptMs);
      found.push(state.liveness);
      now = Math.max(endedAt, now + acceptMs) + 400;
    }
    t.true(
      found.some(liveness => liveness !== 'suspect' && liveness !== 'alive'),
    );
  });
}
