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

const WELL = {heard: 8, waiting: 1, isAlone: false, lateMs: 0};

/** Asks once at a time, and gets a reply after the time that it is waited for. */
function askOnce(
  hearing: PeerState,
  kind: 'refused' | 'unconnected' | 'unanswered',
  now: number,
  observer = WELL,
): {hearing: PeerState; now: number} {
  const asked = applyObservation(hearing, {kind: 'asked'}, now);
  const {connectMs, answerMs} = probeTimeouts(hearing, undefined, now);
  const waitMs = {refused: 1, unconnected: connectMs, unanswered: answerMs};
  const end = now + waitMs[kind];
  const reply: ProbeResult = {kind};
  const ended = applyObservation(asked, {kind: 'ended', reply, observer}, end);
  return {hearing: ended, now: end};
}

/** Asks several times in a row. */
function askAll(
  kinds: readonly ('refused' | 'unconnected' | 'unanswered')[],
  observer = WELL,
): {hearing: PeerState; now: number} {
  return kinds.reduce(
    (at, kind) => askOnce(at.hearing, kind, at.now, observer),
    {hearing: NEVER_PROBED, now: 0},
  );
}

const PENDING: PendingRequest = {
  pendingMs: 900,
  isSent: true,
  isRepeatable: false,
  hasAlternative: true,
  lateMs: 0,
};

const silent = (liveness: PeerStatus['liveness']): PeerStatus => ({
  liveness,
  quietMs: 900,
  failingMs: 500,
});

test('a machine that takes no connections is lost within a second of questions', t => {
  const {hearing, now} = askAll(['unconnected', 'unconnected']);
  t.is(hearing.liveness, 'dark');
  t.true(now <= 1000);
});

test('one lost packet or one refusal does not make a daemon lost', t => {
  t.is(askAll(['unconnected']).hearing.liveness, 'late');
  t.is(askAll(['refused']).hearing.liveness, 'late');
  t.is(askAll(['refused', 'refused']).hearing.liveness, 'refused');
});

test('a daemon whose machine takes connections is never taken for dark', t => {
  t.is(askAll(['unanswered']).hearing.liveness, 'late');
  const still = askAll(['unanswered', 'unanswered', 'unanswered']).hearing;
  t.is(still.liveness, 'still');
  const back = askAll(['unconnected', 'unconnected', 'unanswered']).hearing;
  t.is(back.liveness, 'late');
});

test('an observer in trouble accuses nobody by silence', t => {
  const troubles = [
    {heard: 0, waiting: 2, isAlone: false, lateMs: 0},
    {heard: 0, waiting: 0, isAlone: false, lateMs: 0},
    {heard: 8, waiting: 1, isAlone: false, lateMs: 300},
  ];
  for (const trouble of troubles) {
    const {hearing} = askAll(Array(5).fill('unconnected'), trouble);
    t.is(hearing.liveness, 'heard');
    t.false(isLost(peerStatusOf(hearing, 60_000)));
    const refused = askAll(['refused', 'refused'], trouble).hearing;
    t.is(refused.liveness, 'refused');
  }
});

test('without a third daemon the silence of the other one counts', t => {
  const alone = {heard: 0, waiting: 0, isAlone: true, lateMs: 0};
  const dark = askAll(['unconnected', 'unconnected'], alone).hearing;
  t.is(dark.liveness, 'dark');
});

test('the control of a silence is any third daemon that is not lost', t => {
  const lost = askAll(['unconnected', 'unconnected']).hearing;
  const heard = applyObservation(NEVER_PROBED, {kind: 'heard'}, 10);
  const all = new Map([
    ['peer', heard],
    ['lost', lost],
    ['old', heard],
    ['own', heard],
  ]);
  const choose = (others: string[], random: number) =>
    chooseControlPeer(all, others, ['own', 'peer'], random);
  const known = [...all.keys(), 'unheard'];
  const chosen = [0, 0.3, 0.49, 0.5, 0.99].map(at => choose(known, at));
  t.deepEqual(chosen, ['old', 'old', 'old', 'unheard', 'unheard']);
  t.is(choose(['own', 'peer', 'lost'], 0.5), undefined);
});

test('of daemons that fall silent at once none is accused, of one among many it is', t => {
  const asked = applyObservation(NEVER_PROBED, {kind: 'asked'}, 100);
  const heard = applyObservation(NEVER_PROBED, {kind: 'heard'}, 300);
  const before = applyObservation(NEVER_PROBED, {kind: 'heard'}, 50);
  const all = new Map([
    ['a', asked],
    ['b', asked],
    ['c', asked],
    ['d', before],
  ]);
  t.deepEqual(countOthers(all, 'a', 400), {heard: 0, waiting: 2});
  const one = new Map([
    ['a', asked],
    ['b', heard],
    ['c', heard],
  ]);
  t.deepEqual(countOthers(one, 'a', 400), {heard: 2, waiting: 0});
});

test('a known loss does not count as a trouble of the observer', t => {
  const {hearing, now} = askAll(['unconnected', 'unconnected']);
  const asked = applyObservation(NEVER_PROBED, {kind: 'asked'}, now);
  const all = new Map([
    ['lost', hearing],
    ['gone', hearing],
    ['next', asked],
  ]);
  t.is(countOthers(all, 'next', now + 10).waiting, 0);
});

test('an answer to any request ends a suspicion', t => {
  const {hearing, now} = askAll(['unconnected', 'unconnected']);
  const back = applyObservation(hearing, {kind: 'heard'}, now + 1);
  t.is(back.liveness, 'heard');
  // What began before the answer tells nothing after it.
  const asked = applyObservation(NEVER_PROBED, {kind: 'asked'}, 0);
  const answered = applyObservation(asked, {kind: 'heard'}, 200);
  const reply: ProbeResult = {kind: 'unconnected'};
  const ended = {kind: 'ended', reply, observer: WELL} as const;
  t.is(applyObservation(answered, ended, 300).liveness, 'heard');
});

test('where answers are slow now, they are waited for longer', t => {
  const quick = updateRoundTrip(undefined, 20, 0);
  t.is(probeTimeouts(NEVER_PROBED, quick, 10).connectMs, 300);
  const slow = updateRoundTrip(updateRoundTrip(undefined, 500, 0), 700, 10);
  const own = {...NEVER_PROBED, usual: slow};
  t.true(probeTimeouts(own, quick, 20).connectMs > 700);
  t.true(probeTimeouts(NEVER_PROBED, slow, 20).connectMs > 700);
  t.is(probeTimeouts(own, slow, 60_000).connectMs, 300);
});

test('a request that may run only once is not broken off on a suspicion', t => {
  for (const liveness of ['heard', 'late', 'still', 'dark'] as const) {
    t.not(decidePending(silent(liveness), PENDING).kind, 'give-up');
  }
  t.is(decidePending(silent('refused'), PENDING).kind, 'give-up');
});

test('what was not sent is given up when its daemon is late', t => {
  const unsent = {...PENDING, isSent: false};
  t.is(decidePending(silent('late'), unsent).kind, 'give-up');
  const keyed = {...unsent, hasChoice: false};
  t.not(decidePending(silent('late'), keyed).kind, 'give-up');
  const young = {...unsent, pendingMs: 200};
  t.is(decidePending(silent('late'), young).kind, 'wait');
});

test('what was sent is not broken off at a daemon that is only late', t => {
  for (const isRepeatable of [false, true]) {
    for (const hasChoice of [false, true]) {
      const pending = {...PENDING, isRepeatable, hasChoice};
      t.is(decidePending(silent('late'), pending).kind, 'ask');
      const young = {...pending, pendingMs: 200};
      t.is(decidePending(silent('late'), young).kind, 'wait');
    }
  }
});

test('what may run again is given up at a lost daemon, with keys and without', t => {
  const unsent = {...PENDING, isSent: false};
  const repeatable = {...PENDING, isRepeatable: true};
  for (const pending of [unsent, repeatable]) {
    for (const hasChoice of [false, true]) {
      for (const liveness of ['dark', 'still'] as const) {
        const one = {...pending, hasChoice};
        t.is(decidePending(silent(liveness), one).kind, 'give-up');
      }
    }
  }
});

test('a look that is late itself breaks nothing off and accuses nobody', t => {
  for (const liveness of [
    'heard',
    'late',
    'still',
    'dark',
    'refused',
  ] as const) {
    for (const isRepeatable of [false, true]) {
      for (const isSent of [false, true]) {
        const pending = {...PENDING, isSent, isRepeatable};
        const late = decidePending(silent(liveness), {...pending, lateMs: 100});
        t.is(late.kind, 'wait');
        const inTime = {...pending, lateMs: 99};
        t.not(decidePending(silent(liveness), inTime).kind, 'wait');
      }
    }
  }
});

test('a daemon is not asked while answers arrive from it', t => {
  const heard = {...silent('heard'), quietMs: 100};
  t.deepEqual(decidePending(heard, PENDING), {kind: 'wait', ms: 300});
  t.is(decidePending(silent('heard'), PENDING).kind, 'ask');
});

test('a late instance is passed over where there is a choice, and comes back', t => {
  const late = applyLoadEvent(UNKNOWN_LOAD, {kind: 'suspected'}, 0);
  t.is(late.avoidedUntil, 0);
  const choice = (node: string, load = UNKNOWN_LOAD) => ({
    node,
    isSameDomain: node === 'late',
    load,
  });
  const choices = [choice('late', late), choice('other')];
  t.is(chooseInstance(choices, 1)?.node, 'other');
  const back = applyLoadEvent(late, {kind: 'reachable'}, 2);
  t.is(
    chooseInstance([choice('late', back), choice('other')], 2)?.node,
    'late',
  );
});

test('keys are taken only after a silence of seconds', t => {
  const dark = {...silent('dark'), silentMs: 1500};
  t.false(isLost(dark));
  t.true(isLost({...dark, failingMs: 2500}));
  t.false(isLost({...silent('late'), failingMs: 2500}));
  t.false(isLost({...silent('still'), failingMs: 2500}));
  t.true(isLost({...silent('still'), failingMs: 5500}));
  t.false(isLost({...silent('heard'), failingMs: 60_000}));
});

/** Asks every second and returns the first time at which the keys are taken. */
function lostAt(
  count: number,
  kindOf: (turn: number) => 'refused' | 'unconnected' | 'unanswered',
  observerOf: (turn: number) => typeof WELL,
): number | undefined {
  let hearing = NEVER_PROBED;
  for (let turn = 0; turn < count; turn++) {
    const kind = kindOf(turn);
    const asked = askOnce(hearing, kind, turn * 1000, observerOf(turn));
    ({hearing} = asked);
    const soon = turn * 1000 + 999;
    if (isLost(peerStatusOf(hearing, soon))) return soon;
  }
  return undefined;
}

const UNWELL = {heard: 0, waiting: 60, isAlone: false, lateMs: 900};

test('keys are not taken on one sign, however long the observer is unwell', t => {
  for (const kind of ['unconnected', 'unanswered'] as const) {
    const once = (turn: number) => (turn === 0 ? WELL : UNWELL);
    t.is(
      lostAt(60, () => kind, once),
      undefined,
    );
    const first = askOnce(NEVER_PROBED, kind, 0);
    t.false(isLost(peerStatusOf(first.hearing, 60_000)));
    t.false(isLost({...silent('late'), failingMs: 60_000}));
  }
});

test('the time in which the observer is unwell does not count as silence', t => {
  const from = 2;
  const to = 20;
  const between = (turn: number) => (turn >= from && turn < to ? UNWELL : WELL);
  for (const kind of ['unconnected', 'unanswered'] as const) {
    const well = lostAt(
      60,
      () => kind,
      () => WELL,
    );
    const unwell = lostAt(60, () => kind, between);
    t.is(unwell! - well!, (to - from) * 1000);
  }
});

test('a lost member loses its keys in the time that its proof takes', t => {
  const at = (kind: 'refused' | 'unconnected' | 'unanswered') =>
    lostAt(
      60,
      () => kind,
      () => WELL,
    );
  t.true(at('refused')! <= 3000);
  t.true(at('unconnected')! <= 3000);
  t.true(at('unanswered')! <= 6000);
});

test('nothing but two refusals or two missing connections makes a loss', t => {
  const reply = fc.oneof(
    fc.constant<ProbeResult>({kind: 'refused'}),
    fc.constant<ProbeResult>({kind: 'unconnected'}),
    fc.constant<ProbeResult>({kind: 'unanswered'}),
    fc.nat(900).map((tookMs): ProbeResult => ({kind: 'answered', tookMs})),
  );
  const replies = fc.array(reply, {maxLength: 12});
  fc.assert(
    fc.property(replies, all => {
      let hearing = NEVER_PROBED;
      let sinceAlive: string[] = [];
      for (const [turn, reply] of all.entries()) {
        const now = turn * 2000;
        hearing = applyObservation(hearing, {kind: 'asked'}, now);
        const ended = {kind: 'ended', reply, observer: WELL} as const;
        hearing = applyObservation(hearing, ended, now + 1000);
        const isAlive =
          reply.kind === 'answered' || reply.kind === 'unanswered';
        sinceAlive = isAlive ? [] : [...sinceAlive, reply.kind];
        const {liveness} = hearing;
        if (liveness !== 'dark' && liveness !== 'refused') continue;
        const kind = liveness === 'dark' ? 'unconnected' : 'refused';
        const pairs = sinceAlive.some(
          (one, at) => one === kind && sinceAlive[at + 1] === kind,
        );
        if (!pairs) return false;
      }
      return true;
    }),
    {seed: 15, numRuns: 500},
  );
  t.pass();
});
