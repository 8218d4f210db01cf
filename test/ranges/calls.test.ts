import test from 'ava';
import fc from 'fast-check';
import {
  createCalledFleet,
  type DisabledRule,
  type CallStep,
  type CallFate,
} from './calls.js';
import {SafetyError} from './fleet.js';

const FLEET_SIZE = 3;
const node = fc.integer({min: 0, max: FLEET_SIZE - 1});

const weighted = <T extends object>(weight: number, shape: T) => ({
  weight,
  arbitrary: fc.record(shape as Record<string, fc.Arbitrary<unknown>>),
});

const fate = fc.constantFrom<CallFate>(
  'answered',
  'answered',
  'answered',
  'lost',
  'late',
  'dropped',
);

const step = fc.oneof(
  weighted(12, {kind: fc.constant('call'), node, fate}),
  weighted(3, {kind: fc.constant('apply-late'), node}),
  weighted(6, {kind: fc.constant('sync'), node}),
  weighted(1, {kind: fc.constant('restart-daemon'), node}),
  weighted(1, {kind: fc.constant('restart-instance'), node}),
  weighted(2, {kind: fc.constant('revoke'), node}),
  weighted(1, {kind: fc.constant('drain'), node}),
  weighted(2, {kind: fc.constant('expire')}),
  weighted(2, {kind: fc.constant('place'), without: node}),
  weighted(3, {
    kind: fc.constant('move'),
    from: fc.integer({min: 0, max: 64_000}),
    node,
  }),
  weighted(5, {
    kind: fc.constant('wait'),
    ms: fc.constantFrom(1, 200, 400, 900, 2500, 5300),
  }),
) as fc.Arbitrary<CallStep>;

const steps = fc.array(step, {minLength: 10, maxLength: 70});

/** Grants every instance its keys, then takes the steps. */
async function runSteps(
  list: readonly CallStep[],
  disabled: DisabledRule,
): Promise<ReturnType<typeof createCalledFleet>> {
  const fleet = createCalledFleet(FLEET_SIZE, disabled);
  for (let index = 0; index < FLEET_SIZE; index++) await grantAll(fleet, index);
  for (const next of list) await fleet.run(next);
  return fleet;
}

type Fleet = ReturnType<typeof createCalledFleet>;

async function grantAll(fleet: Fleet, index: number): Promise<void> {
  await fleet.run({kind: 'sync', node: index});
  for (let call = 0; call < 4; call++) {
    await fleet.run({kind: 'call', node: index, fate: 'answered'});
  }
}

test('no key is ever held by two instances that are called for their keys', async t => {
  await fc.assert(
    fc.asyncProperty(steps, async list => {
      await runSteps(list, 'none');
    }),
    {numRuns: 1200, seed: 18},
  );
  t.pass();
});

const DISABLED_RULES: readonly DisabledRule[] = [
  'trust-lost-release',
  'expire-at-once',
  'keep-fence',
];

for (const broken of DISABLED_RULES) {
  test(`the exploration finds the broken rule ${broken} of calls`, async t => {
    const result = await fc.check(
      fc.asyncProperty(steps, async list => {
        await runSteps(list, broken);
      }),
      {numRuns: 8000, seed: 18, endOnFailure: true},
    );
    t.true(result.failed);
    t.true(result.errorInstance instanceof SafetyError);
  });
}

const answered = (node: number, count: number): readonly CallStep[] =>
  Array.from({length: count}, () => ({kind: 'call', node, fate: 'answered'}));

/** The next holder gets the keys, then a late grant is carried out at the old. */
const LATE_GRANT_AFTER_MOVE: readonly CallStep[] = [
  {kind: 'move', from: 0, node: 2},
  {kind: 'sync', node: 0},
  ...answered(0, 4),
  {kind: 'sync', node: 2},
  ...answered(2, 4),
  {kind: 'apply-late', node: 0},
];

const LATE_RENEWAL: readonly CallStep[] = [
  {kind: 'wait', ms: 2500},
  {kind: 'sync', node: 0},
  {kind: 'call', node: 0, fate: 'late'},
];

/** Orders of events in which a rule decides whether two hold a key. */
const SCENARIOS: Partial<Record<DisabledRule, readonly CallStep[]>> = {
  'trust-silence': [...LATE_RENEWAL, ...LATE_GRANT_AFTER_MOVE],
  'forget-earlier-process': [
    ...LATE_RENEWAL,
    {kind: 'restart-daemon', node: 0},
    ...LATE_GRANT_AFTER_MOVE,
  ],
  'confirm-from-a-copy': [
    {kind: 'revoke', node: 0},
    {kind: 'expire'},
    {kind: 'wait', ms: 2500},
    ...answered(0, 3),
    {kind: 'wait', ms: 2500},
    ...answered(0, 3),
    {kind: 'wait', ms: 400},
    {kind: 'expire'},
    {kind: 'place', without: 0},
    {kind: 'sync', node: 1},
    ...answered(1, 4),
    {kind: 'sync', node: 2},
    ...answered(2, 4),
  ],
};

for (const [broken, scene] of Object.entries(SCENARIOS)) {
  test(`the scene of the rule ${broken} of calls needs the rule`, async t => {
    await t.notThrowsAsync(runSteps(scene, 'none'));
    await t.throwsAsync(runSteps(scene, broken as DisabledRule), {
      instanceOf: SafetyError,
    });
  });
}

test('keys that move get to their next holder once every call is answered', async t => {
  const fleet = await runSteps(
    [
      {kind: 'move', from: 0, node: 2},
      {kind: 'sync', node: 0},
      {kind: 'call', node: 0, fate: 'answered'},
    ],
    'none',
  );
  await grantAll(fleet, 2);
  t.true(fleet.heldBy(2).some(({from, to}) => from === 0 && to === 999));
});

test('a release waits for a call that may still be carried out', async t => {
  const fleet = await runSteps(
    [
      {kind: 'wait', ms: 2500},
      {kind: 'sync', node: 0},
      {kind: 'call', node: 0, fate: 'late'},
      {kind: 'move', from: 0, node: 2},
      {kind: 'sync', node: 0},
    ],
    'none',
  );
  const isMoving = () =>
    fleet.map().terms.some(({state}) => state === 'moving');
  await fleet.run({kind: 'call', node: 0, fate: 'answered'});
  t.true(isMoving());
  await fleet.run({kind: 'apply-late', node: 0});
  await fleet.run({kind: 'wait', ms: 5300});
  await fleet.run({kind: 'sync', node: 0});
  await fleet.run({kind: 'call', node: 0, fate: 'answered'});
  t.false(isMoving());
});
