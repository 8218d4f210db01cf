import {fc, testProp} from '@fast-check/ava';
import {
  formatLease,
  leaseOf,
  sameLease,
  type Chunk,
  type LeaseId,
  type Member,
  type SliceRecord,
} from '../../src/model/index.js';
import {planChunk, TERM_LIMIT} from '../../src/placement/index.js';
import {evidence, fleet, releaseKey, service} from './fixtures.js';

const SEED = {seed: 20261203, numRuns: 400};
const SERVICE = service({slices: 2, chunks: 1});
const NAMES = fleet(4).map(m => m.instance);

/** One change of what the planner sees, or a plan that is stored. */
type Step =
  | {readonly kind: 'plan'}
  | {readonly kind: 'move'; readonly slice: number; readonly to: string}
  | {readonly kind: 'end' | 'drain' | 'join'; readonly instance: string}
  | {readonly kind: 'lose-wanted'; readonly slice: number}
  | {
      readonly kind: 'release';
      readonly slice: number;
      readonly instance: string;
    };

interface World {
  readonly chunk: Chunk | undefined;
  readonly members: readonly Member[];
  readonly ended: readonly LeaseId[];
  readonly releases: ReadonlyMap<string, number>;
  /** Highest epoch ever recorded, by slice. */
  readonly highest: readonly number[];
}

const instance = fc.constantFrom(...NAMES);
const slice = fc.integer({min: 0, max: 1});
const step: fc.Arbitrary<Step> = fc.oneof(
  {weight: 5, arbitrary: fc.constant<Step>({kind: 'plan'})},
  fc.record({kind: fc.constant('move' as const), slice, to: instance}),
  fc.record({
    kind: fc.constantFrom('end' as const, 'drain' as const, 'join' as const),
    instance,
  }),
  fc.record({kind: fc.constant('lose-wanted' as const), slice}),
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      slice,
      instance,
    }),
  },
);

const START: World = {
  chunk: undefined,
  members: fleet(4),
  ended: [],
  releases: new Map(),
  highest: [0, 0],
};

function apply(world: World, event: Step): World {
  switch (event.kind) {
    case 'plan':
      return store(world, planNext(world));
    case 'move':
      return store(world, planNext(world, [event]));
    case 'end':
      return end(world, event.instance);
    case 'drain':
      return changeMember(world, event.instance, m =>
        m.state === 'serving' ? {...m, state: 'draining'} : m,
      );
    case 'join':
      return changeMember(end(world, event.instance), event.instance, m => ({
        ...m,
        generation: m.generation + 1,
        state: 'serving',
      }));
    case 'lose-wanted':
      return loseWanted(world, event.slice);
    case 'release':
      return release(world, event.slice, event.instance);
  }
}

function planNext(
  world: World,
  moves: readonly {slice: number; to: string}[] = [],
): Chunk | undefined {
  const {chunk, members, ended, releases} = world;
  const proof = evidence(ended, releases);
  return planChunk({
    service: SERVICE,
    index: 0,
    chunk,
    members,
    moves,
    ...proof,
  });
}

function store(world: World, next: Chunk | undefined): World {
  if (!next) return world;
  const highest = next.slices.map((record, i) =>
    Math.max(world.highest[i], ...record.terms.map(t => t.epoch)),
  );
  return {...world, chunk: next, highest};
}

function changeMember(
  world: World,
  name: string,
  to: (member: Member) => Member,
): World {
  const members = world.members.map(m => (m.instance === name ? to(m) : m));
  return {...world, members};
}

function end(world: World, name: string): World {
  const gone = world.members.find(m => m.instance === name)!;
  const after = changeMember(world, name, m => ({...m, state: 'ended'}));
  return {...after, ended: [...world.ended, leaseOf(gone)]};
}

/** Ends every lease that holds a wanted term of a slice. */
function loseWanted(world: World, index: number): World {
  const record = world.chunk?.slices[index];
  const wanted = record?.terms.filter(t => t.epoch >= record.wantedFrom) ?? [];
  const holders = world.members.filter(m =>
    wanted.some(t => sameLease(t.lease, leaseOf(m))),
  );
  return holders.reduce((now, m) => end(now, m.instance), world);
}

/** The lease of an instance releases the terms that are not wanted. */
function release(world: World, index: number, name: string): World {
  const record = world.chunk?.slices[index];
  if (!record) return world;
  const holder = world.members.find(m => m.instance === name)!;
  const key = releaseKey(
    {service: SERVICE.name, slice: index},
    leaseOf(holder),
  );
  const releases = new Map(world.releases).set(key, record.wantedFrom - 1);
  return {...world, releases};
}

function hasEnded(world: World, index: number, term: SliceRecord['terms'][0]) {
  const key = releaseKey({service: SERVICE.name, slice: index}, term.lease);
  const gone = new Set(world.ended.map(formatLease));
  const released = world.releases.get(key) ?? 0;
  return gone.has(formatLease(term.lease)) || released >= term.epoch;
}

/**
 * Tells whether the next term of the record is of the same lease, so that
 * whoever comes later waits for that lease all the same.
 */
function isMerged(record: SliceRecord, term: SliceRecord['terms'][0]) {
  const next = record.terms.find(({epoch}) => epoch > term.epoch);
  return next !== undefined && sameLease(next.lease, term.lease);
}

/** Returns the rules that a stored plan breaks. */
function brokenRules(before: World, after: World): readonly string[] {
  if (!after.chunk || after.chunk === before.chunk) return [];
  return after.chunk.slices.flatMap((record, i) => {
    const old = before.chunk?.slices[i].terms ?? [];
    const epochs = record.terms.map(t => t.epoch);
    const known = old.map(t => t.epoch);
    const dropped = old.filter(t => !epochs.includes(t.epoch));
    const added = record.terms.filter(t => !known.includes(t.epoch));
    const kept = record.terms.filter(t => known.includes(t.epoch));
    const failures: string[] = [];
    const check = (ok: boolean, rule: string) => ok || failures.push(rule);
    check(record.slice === i, 'slice renumbered');
    check(
      dropped.every(t => hasEnded(before, i, t) || isMerged(record, t)),
      'term dropped in force',
    );
    check(
      added.every(t => t.epoch > before.highest[i]),
      'epoch used twice',
    );
    check(
      kept.every(t => old.includes(t)),
      'term changed',
    );
    check(
      epochs.every((e, at) => at === 0 || e > epochs[at - 1]),
      'epochs not ascending',
    );
    const wantedBefore = before.chunk?.slices[i].wantedFrom ?? 0;
    check(record.wantedFrom >= wantedBefore, 'wanted epoch fell');
    check(epochs.at(-1)! >= record.wantedFrom, 'no wanted term');
    const limit = TERM_LIMIT + 1 + SERVICE.successors;
    check(epochs.length <= limit, 'too many terms');
    return failures;
  });
}

/** Lets all holders release and plans until nothing changes. */
function settle(world: World): World {
  let current = world;
  for (let round = 0; round < 20; round++) {
    for (const name of NAMES) {
      for (let i = 0; i < SERVICE.slices; i++) {
        current = release(current, i, name);
      }
    }
    const next = planNext(current);
    if (!next) return current;
    current = store(current, next);
  }
  throw new Error('the plan does not come to rest');
}

testProp(
  'no history of events makes a plan break a rule of the record',
  [fc.array(step, {minLength: 1, maxLength: 60})],
  (t, steps) => {
    let world = START;
    for (const event of steps) {
      const next = apply(world, event);
      t.deepEqual(brokenRules(world, next), []);
      world = next;
    }
  },
  SEED,
);

testProp(
  'once events end, every slice has a fit owner and all successors to be had',
  [fc.array(step, {minLength: 1, maxLength: 60})],
  (t, steps) => {
    const world = settle(steps.reduce(apply, START));
    const fit = world.members.filter(m => m.state === 'serving');
    const wanted = Math.min(fit.length, 1 + SERVICE.successors);
    fc.pre(fit.length > 0);
    const names = fit.map(m => formatLease(leaseOf(m)));
    for (const record of world.chunk?.slices ?? []) {
      const holders = record.terms.map(x => formatLease(x.lease));
      const fitHolders = new Set(holders.filter(h => names.includes(h)));
      t.true(names.includes(holders[0]));
      t.is(fitHolders.size, wanted);
      t.true(record.terms[0].epoch >= record.wantedFrom);
    }
  },
  SEED,
);
