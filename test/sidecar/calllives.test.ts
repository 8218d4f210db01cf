import test from 'ava';
import fc from 'fast-check';
import {grantByCall} from './callinstances.js';
import {playLives, type Disturbance, type Violation} from './lives.js';

const MACHINES = 3;

/** Time in which disturbances happen. */
const DISTURBED_MS = 24_000;

/** Length of a play, whose last seconds are without disturbances. */
const LENGTH_MS = DISTURBED_MS + 21_000;

/** Runs of each exploration; a hunt sets more. */
const RUNS = Number(process.env.LIVES_RUNS ?? 8);

/** Seed of the explorations; a hunt sets others. */
const SEED = Number(process.env.LIVES_SEED ?? 38);

/** Rules that are checked; a hunt may look for one of them. */
const KINDS = (
  process.env.LIVES_KINDS ?? 'token,shared,work,unserved,kept'
).split(',');

const kind = <T extends string>(name: T) => fc.constant(name);
const machine = fc.integer({min: 0, max: MACHINES - 1});
const when = {
  atMs: fc.integer({min: 3000, max: DISTURBED_MS}),
  node: machine,
};
const downMs = fc.integer({min: 200, max: 2500});
const ms = fc.integer({min: 300, max: 6000});
/** Some outlast a lease. */
const standstillMs = fc.integer({min: 500, max: 12_000});

const DISTURBANCES = {
  crash: fc.record({
    ...when,
    kind: kind('crash'),
    downMs,
    sameId: fc.constant(false),
  }),
  crashUnderSameId: fc.record({
    ...when,
    kind: kind('crash'),
    downMs,
    sameId: fc.constant(true),
  }),
  move: fc.record({
    ...when,
    kind: kind('move'),
    // Moves of the same keys meet each other.
    from: fc.constantFrom(2000, 6000, 21_000, 34_000, 52_000),
    to: machine,
  }),
  drain: fc.record({...when, kind: kind('drain'), announces: fc.boolean()}),
  restart: fc.record({
    ...when,
    kind: fc.constantFrom('restart-daemon' as const, 'power-loss' as const),
    downMs,
  }),
  outage: fc.record({
    ...when,
    kind: fc.constantFrom(
      'refuse-store' as const,
      'silence-store' as const,
      'cut' as const,
    ),
    ms,
  }),
  cutLink: fc.record({
    ...when,
    kind: kind('cut-link'),
    to: machine,
    // A lost daemon is asked for through others after some four seconds.
    ms: fc.integer({min: 1000, max: 20_000}),
  }),
  freeze: fc.record({
    ...when,
    kind: kind('freeze'),
    ms: standstillMs,
    suspends: fc.boolean(),
  }),
  stall: fc.record({
    ...when,
    kind: kind('stall'),
    ms: standstillMs,
  }),
  clock: fc.record({
    ...when,
    kind: kind('clock'),
    byMs: fc.integer({min: -6000, max: 6000}),
    backMs: fc.integer({min: 500, max: 8000}),
  }),
  repeat: fc.record({
    ...when,
    kind: kind('repeat'),
    lives: fc.integer({min: 0, max: 3}),
    count: fc.integer({min: 1, max: 8}),
  }),
  storeRestore: fc.record({
    ...when,
    // All keys are assigned by then.
    atMs: fc.integer({min: 9000, max: DISTURBED_MS}),
    kind: kind('store-restore'),
    ageMs: fc.integer({min: 100, max: 6000}),
    awayMs: fc.integer({min: 0, max: 2500}),
  }),
} satisfies Record<string, fc.Arbitrary<Disturbance>>;

type Weights = Partial<Record<keyof typeof DISTURBANCES, number>>;

const playOf = (weights: Weights, length: number) =>
  fc.record({
    seed: fc.integer({min: 1, max: 2 ** 31}),
    overlapping: fc.boolean(),
    disturbances: fc.array(
      fc.oneof(
        ...Object.entries(weights).map(([name, weight]) => ({
          weight,
          arbitrary: DISTURBANCES[
            name as keyof Weights
          ] as fc.Arbitrary<Disturbance>,
        })),
      ),
      {minLength: length / 2, maxLength: length, size: 'max'},
    ),
  });

/** Ends after which an instance starts again under the id that it had. */
const UNDER_SAME_ID = 'ends under the same id';

const PLAYS = {
  moves: playOf({move: 6, restart: 1, outage: 1}, 100),
  'frequent ends': playOf({crash: 1, move: 4}, 200),
  [UNDER_SAME_ID]: playOf({crashUnderSameId: 1, move: 4}, 60),
  'all disturbances': playOf(
    {
      ...{crash: 4, move: 6, drain: 1, restart: 2, outage: 3, cutLink: 1},
      ...{freeze: 1, stall: 1},
    },
    80,
  ),
  standstills: playOf(
    {freeze: 3, stall: 2, move: 8, restart: 1, outage: 1, cutLink: 1},
    40,
  ),
  'jumping clocks': playOf(
    {crash: 3, clock: 3, repeat: 2, stall: 1, move: 3, restart: 1},
    40,
  ),
  copies: playOf(
    {
      ...{storeRestore: 2, crash: 3, move: 6, drain: 1, restart: 1},
      ...{outage: 1, cutLink: 1},
    },
    40,
  ),
};

/** Conditions of the network, the store and the calls. */
const CONDITIONS = {
  good: {
    ...{slowShare: 0.02, lostShare: 0.005, heldUpShare: 0.02},
    grants: grantByCall({
      lostGrantShare: 0.01,
      lateGrantShare: 0.02,
      lostReleaseShare: 0.05,
    }),
  },
  bad: {
    ...{slowShare: 0.3, lostShare: 0.05, heldUpShare: 0.3},
    grants: grantByCall({
      lostGrantShare: 0.1,
      lateGrantShare: 0.1,
      lostReleaseShare: 0.4,
    }),
  },
};

interface RecordedPlay {
  readonly seed: number;
  readonly path: string;
}

/** Plays that broke a rule, or did not end, when an exploration found them. */
const FOUND: Readonly<Record<string, readonly RecordedPlay[]>> = {
  // A grant by a map that was read before the machine was suspended.
  'standstills, bad calls and store': [{seed: 44, path: '142'}],
  // A release that a map in recovery does not record.
  'copies, good calls and store': [{seed: 38, path: '16'}],
  'copies, bad calls and store': [{seed: 38, path: '33'}],
};

/** Explores plays one after another, since they replace the timers. */
async function explore(
  plays: (typeof PLAYS)[keyof typeof PLAYS],
  conditions: (typeof CONDITIONS)[keyof typeof CONDITIONS],
  kinds: readonly string[],
  recorded: readonly RecordedPlay[],
) {
  const rules = fc.asyncProperty(plays, async play => {
    const broken = await playLives({
      ...conditions,
      ...play,
      machines: MACHINES,
      lengthMs: LENGTH_MS,
    });
    const counted = broken.filter(
      ({kind}) => KINDS.includes(kind) && kinds.includes(kind),
    );
    if (counted.length > 0) throw new Error(textOf(counted));
  });
  const replays = process.env.LIVES_SEED ? [] : recorded;
  const found = replays.map(replay => ({...replay, numRuns: 1}));
  for (const run of [{seed: SEED, numRuns: RUNS}, ...found]) {
    await fc.assert(rules, {
      ...run,
      endOnFailure: true,
      includeErrorInReport: true,
    });
  }
}

const OTHER_KINDS = ['shared', 'work', 'unserved', 'kept', 'departure'];

for (const [name, plays] of Object.entries(PLAYS)) {
  for (const [state, conditions] of Object.entries(CONDITIONS)) {
    const title = `${name}, ${state} calls and store`;
    const recorded = FOUND[title] ?? [];
    if (plays === PLAYS[UNDER_SAME_ID]) {
      test.serial(`tokens of keys granted by call rise: ${title}`, async t => {
        await explore(plays, conditions, ['token'], recorded);
        t.pass();
      });
      test.serial(`keys granted by call have one holder: ${title}`, async t => {
        await explore(plays, conditions, OTHER_KINDS, recorded);
        t.pass();
      });
      continue;
    }
    test.serial(
      `tokens rise and keys granted by call have one holder: ${title}`,
      async t => {
        await explore(plays, conditions, ['token', ...OTHER_KINDS], recorded);
        t.pass();
      },
    );
  }
}

function textOf(broken: readonly Violation[]): string {
  return broken
    .map(({kind, atMs, text}) => `${kind} at ${Math.round(atMs)} ms: ${text}`)
    .join('\n');
}
