import test from 'ava';
import {notRun} from '../../src/model/index.js';
import {
  admissionRefusal,
  admitRequest,
  createIntake,
  holderWaitUntil,
} from '../../src/relay/index.js';

test('a request waits for a holder for at most half of its remaining time', t => {
  t.is(holderWaitUntil(1000, 5000, 700), 1700);
  t.is(holderWaitUntil(1000, 1400, 700), 1200);
});

test('a passed deadline is decided before the load of the process', t => {
  const reason = (now: number, retryMs?: number) =>
    admissionRefusal({now, deadlineAt: 1000, retryMs})?.reason;
  t.is(reason(999), undefined);
  t.is(reason(999, 300), 'overloaded');
  t.is(reason(1000), 'deadline');
  t.is(reason(1000, 300), 'deadline');
  t.is(
    admissionRefusal({now: 999, deadlineAt: 1000, retryMs: 300})?.retryAfterMs,
    300,
  );
  const stopReason = notRun('cancelled', 'the caller closed the connection');
  const stopped = {stopReason, now: 1000, deadlineAt: 1000, retryMs: 300};
  t.is(admissionRefusal(stopped), stopReason);
});

/** Admission of requests to a process whose event loop is overloaded. */
function createOverloadedProcess() {
  let now = 1000;
  let turns: (() => void)[] = [];
  const clock = () => now;
  const intake = createIntake(
    clock,
    call => turns.push(call),
    () => 0,
  );
  // A turn without idle time.
  now = 2000;
  void intake.admit(0, 9000, 400, () => false);
  const admit = (deadlineAt: number, startedAt = now) => {
    const state = {mayHaveRun: false, isBodyConsumed: false};
    const context = {clock, intake};
    return admitRequest(context, {state}, 0, startedAt, deadlineAt);
  };
  const passTurn = (timeMs: number) => {
    now += timeMs;
    const ended = turns;
    turns = [];
    ended.forEach(end => end());
  };
  const settle = async () => {
    for (let step = 0; step < 4; step++) await undefined;
  };
  return {admit, passTurn, settle, queueLength: intake.queueLength};
}

test('a request that an overloaded process reads after its deadline is not queued', async t => {
  const {admit, passTurn, settle, queueLength} = createOverloadedProcess();
  const queued = queueLength();
  const refusal = admit(1500);
  await settle();
  t.is(queueLength(), queued);
  passTurn(1);
  passTurn(1);
  const {outcome, reason} = (await refusal) ?? {};
  t.deepEqual({outcome, reason}, {outcome: 'not-run', reason: 'deadline'});
});

test('a request whose deadline passes while an overloaded process queues it is not started', async t => {
  const {admit, passTurn, settle, queueLength} = createOverloadedProcess();
  const queued = queueLength();
  const refusal = admit(2050);
  t.is(queueLength(), queued + 1);
  passTurn(60);
  await settle();
  t.is(queueLength(), queued);
  const {outcome, reason} = (await refusal) ?? {};
  t.deepEqual({outcome, reason}, {outcome: 'not-run', reason: 'deadline'});
});

test('a request that an overloaded process refuses before its deadline is refused for its load', async t => {
  const {admit, passTurn} = createOverloadedProcess();
  const refusal = admit(2200);
  passTurn(5);
  passTurn(70);
  t.is((await refusal)?.reason, 'overloaded');
});
