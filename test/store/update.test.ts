import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  AnswerLostError,
  UnavailableError,
  update,
  type ObjectStore,
  type StoredObject,
} from '../../src/store/index.js';
import {createMemoryPlatform} from '../../standin/platform/index.js';
import {scriptedPlatform, type Fault} from './faults.js';

const OWN = 'own';

function listOf(value: string | undefined): readonly string[] {
  return value === undefined ? [] : (JSON.parse(value) as string[]);
}

function appended(value: string | undefined, name: string): string {
  return JSON.stringify([...listOf(value), name]);
}

function append(platform: ObjectStore, attempts?: number) {
  const change = (current: StoredObject | undefined) =>
    appended(current?.value, OWN);
  const isOwn = (value: string) => listOf(value).includes(OWN);
  return update(platform, 'k', change, isOwn, attempts);
}

async function outcomeOf(platform: ObjectStore, attempts: number) {
  try {
    return (await append(platform, attempts)).kind;
  } catch (error) {
    if (error instanceof AnswerLostError) return 'lost';
    if (error instanceof UnavailableError) return 'unavailable';
    throw error;
  }
}

function countOwn(value: string | undefined): number {
  return listOf(value).filter(name => name === OWN).length;
}

const faults = fc.constantFrom<Fault[]>(
  'none',
  'down',
  'lost',
  'dropped',
  'late',
  'rival',
);
const scripts = fc.array(faults, {maxLength: 10});

testProp(
  'an update tells the truth and is applied at most once',
  [scripts, fc.integer({min: 1, max: 4})],
  async (t, script, attempts) => {
    const rival = (value: string | undefined) => appended(value, 'rival');
    const scripted = scriptedPlatform(script, rival);
    const outcome = await outcomeOf(scripted.platform, attempts);
    scripted.settle();
    const times = countOwn(scripted.value());
    const allowed = {stored: [1], lost: [0, 1]}[outcome as string] ?? [0];
    t.true(allowed.includes(times), `${outcome}, applied ${times} times`);

    await outcomeOf(scripted.platform, attempts);
    scripted.settle();
    t.true(countOwn(scripted.value()) <= 1, 'applied again by a repeat');
  },
  {seed: 20261203, numRuns: 3000},
);

test('an update that asks for nothing writes nothing', async t => {
  const platform = createMemoryPlatform();
  await platform.put('k', '[]', 0);
  const result = await update(
    platform,
    'k',
    () => undefined,
    () => false,
  );
  t.is(result.kind, 'unchanged');
  t.is(platform.store().revision, 1);
});

test('a lost answer is resolved by reading back', async t => {
  const platform = createMemoryPlatform();
  platform.loseAnswers(1);
  const result = await append(platform);
  t.is(result.kind, 'stored');
  t.is(result.object?.version, 1);
  t.is(countOwn(platform.store().objects.get('k')?.value), 1);
});
