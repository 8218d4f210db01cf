import test from 'ava';
import {CALLER_BACKLOG} from '../../src/sidecar/index.js';
import {createIntake, planTurn, type Intake} from '../../src/relay/index.js';

/** An intake that lets everything in, as without one. */
const OPEN: Intake = {admit: () => undefined, queueLength: () => 0};

/** Time that the process spends on a request, in milliseconds. */
const SERVE_MS = 1.5;

/** The same right after a restart, until as many requests were read. */
const COLD_SERVE_MS = 6;
const COLD_REQUESTS = 2500;

const REFUSE_MS = 0.3;

/** Time for taking a connection and reading its request, in milliseconds. */
const READ_MS = 0.5;
const COLD_READ_MS = 3;

/** Requests of callers in a second, and how long they are waited for. */
const PER_SECOND = 420;
const PATIENCE_MS = 900;

/** Times that a caller sends its request. */
const ATTEMPTS = 3;

interface Attempt {
  readonly bornAt: number;
  readonly number: number;
}

interface Arriving extends Attempt {
  readonly at: number;
}

/**
 * Plays a process that reads what has arrived in turns, and callers who give an
 * attempt up after a third of their time and send it again.
 *
 * @param backlog Connections that wait to be accepted; further ones are not made.
 * @returns the share of the callers of each second who got an answer in time.
 */
async function play(
  createOf: (
    clock: () => number,
    next: (call: () => void) => void,
    idleMs: () => number,
  ) => Intake,
  seconds: number,
  backlog = Infinity,
): Promise<readonly number[]> {
  let now = 0;
  let read = 0;
  const isCold = () => read < COLD_REQUESTS;
  let idleMs = 0;
  const afterRead: (() => void)[] = [];
  const intake = createOf(
    () => now,
    call => afterRead.push(call),
    () => idleMs,
  );
  const answered = new Set<number>();
  let arriving: Arriving[] = [];
  const callers = Array.from(
    {length: PER_SECOND * seconds},
    (_, i) => (i * 1000) / PER_SECOND,
  );
  for (const bornAt of callers) arriving.push({bornAt, number: 1, at: bornAt});
  const leavesAt = ({at}: Arriving) => at + PATIENCE_MS / ATTEMPTS;
  const again = ({bornAt, number}: Attempt, at: number) => {
    if (number >= ATTEMPTS || at >= bornAt + PATIENCE_MS) return;
    arriving.push({bornAt, number: number + 1, at});
  };
  const serve = (attempt: Arriving) => {
    now += isCold() ? COLD_SERVE_MS : SERVE_MS;
    if (now <= leavesAt(attempt)) answered.add(attempt.bornAt);
    else again(attempt, leavesAt(attempt));
  };
  const handle = async (attempt: Arriving) => {
    // The close of a connection is heard after the turn that read its request.
    const readAt = now;
    const isOver = () => now > readAt && now > leavesAt(attempt);
    const entering = intake.admit(1, leavesAt(attempt), 200, isOver);
    const retryMs = entering && (await entering);
    if (entering && isOver()) return again(attempt, leavesAt(attempt));
    if (retryMs === undefined) return serve(attempt);
    now += REFUSE_MS;
    again(attempt, now + retryMs);
  };
  while (now < seconds * 1000) {
    const due = arriving.filter(({at}) => at <= now);
    arriving = arriving.filter(({at}) => at > now);
    due.sort((a, b) => a.at - b.at);
    for (const unmade of due.splice(backlog)) again(unmade, leavesAt(unmade));
    read += due.length;
    for (const attempt of due) {
      now += isCold() ? COLD_READ_MS : READ_MS;
      void handle(attempt);
      await Promise.resolve();
    }
    for (const call of afterRead.splice(0)) call();
    for (let i = 0; i < 200; i++) await Promise.resolve();
    if (due.length === 0 && intake.queueLength() === 0) {
      now += 1;
      idleMs += 1;
    }
  }
  const shares = Array.from({length: seconds}, () => 0);
  for (const bornAt of answered) {
    shares[Math.floor(bornAt / 1000)] += 1 / PER_SECOND;
  }
  return shares;
}

test('a restart with cold code does not leave a process behind for good', async t => {
  const without = await play(() => OPEN, 20);
  const shares = await play(createIntake, 20);
  // Without turns the process works for callers who have left, for ever.
  t.true(without.slice(10, 18).every(share => share < 0.1));
  t.true(shares.slice(8, 18).every(share => share > 0.95));
});

test('a long queue of connections keeps a process behind that a short one does not', async t => {
  const long = await play(createIntake, 20, 1024);
  const short = await play(createIntake, 20, CALLER_BACKLOG);
  const sum = (shares: readonly number[]) =>
    shares.slice(2, 10).reduce((all, share) => all + share, 0);
  t.true(sum(short) > sum(long) * 1.2, `${sum(short)} and ${sum(long)}`);
  t.true(short.slice(9, 18).every(share => share > 0.95));
});

/** An intake at a time and after an idle time that the test sets. */
function createSet() {
  const at = {now: 0, idleMs: 0};
  const turns: (() => void)[] = [];
  const intake = createIntake(
    () => at.now,
    call => turns.push(call),
    () => at.idleMs,
  );
  const enter = () => intake.admit(1, at.now + 1000, 200, () => false);
  const turn = () => turns.splice(0).forEach(call => call());
  return {at, enter, turn};
}

test('a process that keeps up lets every request in at once', t => {
  const {at, enter, turn} = createSet();
  t.is(enter(), undefined);
  turn();
  Object.assign(at, {now: 100, idleMs: 80});
  t.is(enter(), undefined);
});

test('a request that is read after a long time without rest waits for a turn', t => {
  const {at, enter, turn} = createSet();
  t.is(enter(), undefined);
  turn();
  // Answers to others were read meanwhile.
  Object.assign(at, {now: 100, idleMs: 5});
  t.truthy(enter());
});

const arrival = (rank: number, dueAt: number, waitMs = 200) => ({
  rank,
  dueAt,
  waitMs,
  arrivedAt: 100,
});

const COST = {startMs: 1, cycleMs: 1};

test('a turn begins what has taken time elsewhere, then the nearest deadline', t => {
  const [late, early, look, hop] = [
    arrival(1, 2500),
    arrival(1, 900),
    arrival(1, 400),
    arrival(0, 8000),
  ];
  const {started: begun} = planTurn([late, early, look, hop], 100, COST);
  t.deepEqual(begun, [hop, look, early, late]);
});

test('a request that would not be reached in time is refused at once', t => {
  const waiting = Array.from({length: 300}, () => arrival(1, 1000));
  const {
    started: begun,
    refused,
    deferred: kept,
  } = planTurn(waiting, 100, COST);
  t.is(begun.length, 25);
  t.is(begun.length + kept.length, 201);
  t.is(refused.length, 99);
});

test('time that goes into reading does not make turns begin less', t => {
  const waiting = Array.from({length: 30}, () => arrival(1, 1000));
  const {started: begun} = planTurn(waiting, 100, {startMs: 2, cycleMs: 6});
  t.is(begun.length, 12);
});
