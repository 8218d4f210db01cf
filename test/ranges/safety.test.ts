import test from 'ava';
import fc from 'fast-check';
import {
  SafetyError,
  createFleet,
  type Command,
  type DisabledRule,
} from './fleet.js';

const FLEET_SIZE = 3;
const node = fc.integer({min: 0, max: FLEET_SIZE - 1});

const command: fc.Arbitrary<Command> = fc.oneof(
  {weight: 4, arbitrary: fc.record({kind: fc.constant('send'), node})},
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('deliver'),
      node,
      late: fc.boolean(),
    }),
  },
  {weight: 4, arbitrary: fc.record({kind: fc.constant('receive'), node})},
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('restart-daemon'), node}),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('restart-instance'), node}),
  },
  {weight: 2, arbitrary: fc.record({kind: fc.constant('revoke'), node})},
  {weight: 3, arbitrary: fc.record({kind: fc.constant('look')})},
  {
    weight: 2,
    arbitrary: fc.record({kind: fc.constant('place'), without: node}),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('move'),
      from: fc.integer({min: 0, max: 64_000}),
      node,
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('wait'),
      ms: fc.constantFrom(1, 300, 900, 2500, 5200),
    }),
  },
) as fc.Arbitrary<Command>;

/** Plays whole heartbeats so that keys are held, then the random commands. */
function runCommands(
  commands: readonly Command[],
  disabled: DisabledRule,
): void {
  const fleet = createFleet(FLEET_SIZE, disabled);
  for (let index = 0; index < FLEET_SIZE; index++) {
    fleet.run({kind: 'send', node: index});
    fleet.run({kind: 'deliver', node: index, late: false});
    fleet.run({kind: 'receive', node: index});
  }
  commands.forEach(fleet.run);
}

const commands = fc.array(command, {minLength: 5, maxLength: 60});

test('no key is ever held by two instances, and tokens grow', t => {
  fc.assert(
    fc.property(commands, steps => runCommands(steps, 'none')),
    {numRuns: 4000, seed: 7},
  );
  t.pass();
});

const DISABLED_RULES: readonly DisabledRule[] = [
  'expire-at-once',
  'keep-fence',
];

for (const mutation of DISABLED_RULES) {
  test(`the exploration finds the broken rule ${mutation}`, t => {
    const result = fc.check(
      fc.property(commands, steps => runCommands(steps, mutation)),
      {numRuns: 6000, seed: 7},
    );
    t.true(result.failed);
    t.true(result.errorInstance instanceof SafetyError);
  });
}

const heartbeat = (node: number): readonly Command[] => [
  {kind: 'send', node},
  {kind: 'deliver', node, late: false},
  {kind: 'receive', node},
];

test('a grant from a copy of the map outlasts its revocation', t => {
  const steps: readonly Command[] = [
    {kind: 'revoke', node: 0},
    {kind: 'look'},
    {kind: 'wait', ms: 5200},
    ...heartbeat(0),
    {kind: 'wait', ms: 300},
    {kind: 'look'},
    {kind: 'place', without: 0},
    ...heartbeat(1),
    ...heartbeat(1),
    ...heartbeat(2),
    ...heartbeat(2),
  ];
  t.notThrows(() => runCommands(steps, 'none'));
  t.throws(() => runCommands(steps, 'confirm-from-a-copy'), {
    instanceOf: SafetyError,
  });
});

test('keys restored and revoked again are not freed by the first wait', t => {
  const steps: readonly Command[] = [
    {kind: 'revoke', node: 0},
    {kind: 'look'},
    {kind: 'wait', ms: 5000},
    ...heartbeat(0),
    {kind: 'revoke', node: 0},
    {kind: 'wait', ms: 300},
    {kind: 'look'},
    {kind: 'place', without: 0},
    ...heartbeat(1),
    ...heartbeat(2),
  ];
  t.notThrows(() => runCommands(steps, 'none'));
  t.throws(() => runCommands(steps, 'ignore-revocation-number'), {
    instanceOf: SafetyError,
  });
});

test('a release reported before a restart of the daemon proves nothing', t => {
  const steps: readonly Command[] = [
    {kind: 'move', from: 100, node: 1},
    ...heartbeat(0),
    {kind: 'send', node: 0}, // Reports the release and is delayed.
    {kind: 'restart-daemon', node: 0},
    {kind: 'deliver', node: 0, late: false},
    ...heartbeat(0),
  ];
  t.notThrows(() => runCommands(steps, 'none'));
});
