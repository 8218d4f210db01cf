import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {submitChange, type Submission} from '../../src/cli/submit.js';
import {
  AnswerLostError,
  CONFIGURATION_KEY,
  UnavailableError,
  historyKey,
  type ObjectStore,
} from '../../src/store/index.js';
import {parseAccepted} from '../../src/settings/index.js';
import {
  createObservableStore,
  createMemoryPlatform,
} from '../../standin/platform/index.js';
import {sites} from '../settings/fixture.js';

/** What happens at a call: a late write takes effect at an arbitrary time. */
type Fault = 'none' | 'down' | 'lost' | 'dropped' | 'late';

const OPERATORS = 3;

function scheduledPlatform(faults: readonly Fault[], s: fc.Scheduler) {
  const holder = createObservableStore();
  const script = [...faults];
  const turn = async () => {
    await s.schedule(Promise.resolve());
    const fault = script.shift() ?? 'none';
    if (fault === 'down') throw new UnavailableError('down');
    return fault;
  };
  const get = async (key: string) => {
    await turn();
    return holder.snapshot().objects.get(key);
  };
  const put = async (key: string, value: string, expected: number) => {
    const fault = await turn();
    const write = () => holder.write({key, value, expected});
    if (fault === 'dropped') throw new AnswerLostError('lost');
    if (fault === 'late') {
      void s.schedule(Promise.resolve()).then(write);
      throw new AnswerLostError('lost');
    }
    const result = write();
    if (fault === 'lost') throw new AnswerLostError('lost');
    return result;
  };
  const unused = () => {
    throw new Error('not used here');
  };
  const platform: ObjectStore = {
    get,
    put,
    list: unused,
    delete: unused,
    watch: unused,
  };
  const valueOf = (key: string) => holder.snapshot().objects.get(key)?.value;
  return {platform, valueOf};
}

function chainOf(valueOf: (key: string) => string | undefined) {
  const text = valueOf(CONFIGURATION_KEY);
  if (text === undefined) return [];
  const current = parseAccepted(text);
  const earlier = [...Array(current.version - 1).keys()].map(index =>
    parseAccepted(valueOf(historyKey(index + 1)) ?? '{}'),
  );
  return [...earlier, current];
}

testProp(
  'operators at once: one wins each version, nothing is lost or taken twice',
  [
    fc.scheduler(),
    fc.array(
      fc.constantFrom<Fault>('none', 'none', 'down', 'lost', 'dropped', 'late'),
      {maxLength: 40},
    ),
    fc.array(fc.integer({min: 0, max: 2}), {
      minLength: OPERATORS,
      maxLength: OPERATORS,
    }),
  ],
  async (t, s, faults, based) => {
    const {platform, valueOf} = scheduledPlatform(faults, s);
    const pace = {
      now: () => 0,
      sleep: () => s.schedule(Promise.resolve()),
    };
    const results: Submission[] = [];
    const operators = based.map(async (basedOn, operator) => {
      const change = `change-${operator}`;
      const wanted = sites(1000 + operator);
      const proposal = {sites: wanted, basedOn, change, author: 'a'};
      results[operator] = await submitChange(platform, proposal, pace);
    });
    await s.waitFor(Promise.all(operators));
    await s.waitIdle();
    const chain = chainOf(valueOf);
    const changes = chain.map(entry => entry.change);
    t.deepEqual(
      chain.map(entry => entry.version),
      chain.map((_, i) => i + 1),
    );
    t.is(new Set(changes).size, changes.length);
    for (const [operator, result] of results.entries()) {
      const isTaken = changes.includes(`change-${operator}`);
      if (result.kind === 'stored') t.true(isTaken);
      if (result.kind === 'refused') t.false(isTaken);
      if (result.kind === 'unreachable') t.false(isTaken);
    }
  },
  {seed: 23, numRuns: 400},
);

function proposal(basedOn: number, operator: string) {
  const wanted = sites(1000 + operator.length);
  return {sites: wanted, basedOn, change: operator, author: 'a'};
}

test('a lost answer is resolved after a rival has followed', async t => {
  const platform = createMemoryPlatform();
  platform.loseAnswers(1);
  const idle = {now: () => 0, sleep: async () => {}};
  const sleep = async () => {
    await submitChange(platform, proposal(1, 'rival'), idle);
  };
  const result = await submitChange(platform, proposal(0, 'me'), {
    now: () => 0,
    sleep,
  });
  t.is(result.kind === 'stored' && result.accepted.change, 'me');
});

test('a lost answer that cannot be resolved is unknown', async t => {
  const platform = createMemoryPlatform();
  const pace = {now: () => 0, sleep: async () => platform.setDown(true)};
  platform.loseAnswers(1);
  const lost = await submitChange(platform, proposal(0, 'me'), pace);
  const refused = await submitChange(platform, proposal(1, 'next'), pace);
  t.deepEqual([lost.kind, refused.kind], ['unknown', 'unreachable']);
});
