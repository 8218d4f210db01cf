import {fc, testProp} from '@fast-check/ava';
import {
  formatLease,
  leaseOf,
  type LeaseId,
  type Term,
} from '../../src/model/index.js';
import {
  dropReturned,
  isolateKey,
  placeOfKey,
  planChunk,
  releasableEpoch,
  returnKey,
  type HotChunk,
} from '../../src/placement/index.js';
import {fleet, service} from './fixtures.js';

const KEY = 'night-desk';
const SERVICE = service({slices: 2, chunks: 1, successors: 1});
const MEMBERS = fleet(4);
const LEASES = MEMBERS.map(leaseOf);

/** A request of the key that an upstream may still commit. */
interface Request {
  readonly holder: number;
  readonly slice: number;
  readonly epoch: number;
}

interface World {
  readonly latest: HotChunk;
  /** The version that each holder has adopted. */
  readonly views: readonly HotChunk[];
  readonly released: ReadonlyMap<string, number>;
  readonly ended: readonly number[];
  readonly requests: readonly Request[];
}

type Step =
  | {readonly kind: 'isolate' | 'return' | 'forget' | 'plan'}
  | {readonly kind: 'move'; readonly to: number}
  | {readonly kind: 'adopt' | 'admit'; readonly holder: number}
  | {
      readonly kind: 'release';
      readonly holder: number;
      readonly slice: number;
    }
  | {readonly kind: 'end'; readonly holder: number};

const holder = fc.integer({min: 0, max: LEASES.length - 1});
const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constantFrom(
      'isolate' as const,
      'return' as const,
      'forget' as const,
      'plan' as const,
    ),
  }),
  fc.record({kind: fc.constant('move' as const), to: holder}),
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('adopt' as const, 'admit' as const),
      holder,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      holder,
      slice: fc.integer({min: 0, max: 2}),
    }),
  },
);
const steps = fc.array(step, {minLength: 20, maxLength: 150});
const lost = fc.option(holder, {freq: 2});

function start(): World {
  const first = planChunk({
    service: SERVICE,
    index: 0,
    chunk: undefined,
    members: MEMBERS,
    ended: () => false,
    released: () => 0,
  });
  const latest: HotChunk = {...first!, hotKeys: []};
  const views = LEASES.map(() => latest);
  return {latest, views, released: new Map(), ended: [], requests: []};
}

function releasedBy(world: World, index: number, slice: number): number {
  return world.released.get(`${index} ${slice}`) ?? 0;
}

function indexOf(lease: LeaseId): number {
  return LEASES.findIndex(l => formatLease(l) === formatLease(lease));
}

function hasEnded(world: World) {
  return (slice: number) =>
    ({lease, epoch}: Term) => {
      const index = indexOf(lease);
      const gone = world.ended.includes(index);
      return gone || releasedBy(world, index, slice) >= epoch;
    };
}

function apply(world: World, event: Step): World {
  const over = hasEnded(world);
  switch (event.kind) {
    case 'isolate':
      return store(world, isolateKey(SERVICE, world.latest, KEY, over));
    case 'return':
      return store(world, returnKey(world.latest, KEY, over));
    case 'forget':
      return store(world, dropReturned(world.latest, over));
    case 'plan':
      return store(world, planNext(world));
    case 'move': {
      const {slice} = placeOfKey(SERVICE, () => world.latest, KEY);
      const to = MEMBERS[event.to].instance;
      return store(world, planNext(world, [{slice, to}]));
    }
    case 'adopt':
      return {...world, views: world.views.with(event.holder, world.latest)};
    case 'release':
      return release(world, event.holder, event.slice);
    case 'admit':
      return admit(world, event.holder);
    case 'end':
      return {...world, ended: [...world.ended, event.holder]};
  }
}

function planNext(
  world: World,
  moves: readonly {slice: number; to: string}[] = [],
): HotChunk | undefined {
  const members = MEMBERS.filter((_, i) => !world.ended.includes(i));
  const next = planChunk({
    service: SERVICE,
    index: 0,
    chunk: world.latest,
    members,
    ended: lease => world.ended.includes(indexOf(lease)),
    released: ({slice}, lease) => releasedBy(world, indexOf(lease), slice),
    moves,
  });
  return next as HotChunk | undefined;
}

function store(world: World, latest: HotChunk | undefined): World {
  return latest ? {...world, latest} : world;
}

function release(world: World, index: number, slice: number): World {
  const own = (other: number) => releasedBy(world, index, other);
  const view = world.views[index];
  const epoch = releasableEpoch(
    view,
    slice,
    LEASES[index],
    own,
    hasEnded(world),
  );
  const released = new Map(world.released);
  released.set(`${index} ${slice}`, Math.max(epoch, own(slice)));
  return {...world, released};
}

/** The term under which a holder would serve the key now, as it sees things. */
function servingTerm(world: World, index: number): Request | undefined {
  if (world.ended.includes(index)) return undefined;
  const view = world.views[index];
  const {slice, fromEpoch} = placeOfKey(SERVICE, () => view, KEY);
  const terms = view.slices.find(r => r.slice === slice)?.terms ?? [];
  const over = hasEnded(world)(slice);
  const own = terms.find(
    (t, at) =>
      indexOf(t.lease) === index &&
      !over(t) &&
      t.epoch >= fromEpoch &&
      terms.slice(0, at).every(e => indexOf(e.lease) === index || over(e)),
  );
  return own && {holder: index, slice, epoch: own.epoch};
}

function admit(world: World, index: number): World {
  const request = servingTerm(world, index);
  if (!request) return world;
  return {...world, requests: [...world.requests, request]};
}

/** Holders whose upstream may still commit a request of the key. */
function executing(world: World): ReadonlySet<number> {
  const live = world.requests.filter(
    r =>
      !world.ended.includes(r.holder) &&
      releasedBy(world, r.holder, r.slice) < r.epoch,
  );
  return new Set(live.map(r => r.holder));
}

function adoptSteps(): readonly Step[] {
  return LEASES.map((_, index) => ({kind: 'adopt', holder: index}));
}

function releaseSteps(): readonly Step[] {
  return LEASES.flatMap((_, index) =>
    [0, 1, 2].map(slice => ({kind: 'release' as const, holder: index, slice})),
  );
}

/** Lets every holder adopt and release, and plans, until all is at rest. */
function settle(world: World): World {
  const round: readonly Step[] = [
    ...adoptSteps(),
    ...releaseSteps(),
    {kind: 'plan'},
  ];
  const rounds = Array.from({length: 8}, () => round).flat();
  return [...rounds, ...adoptSteps()].reduce(apply, world);
}

/** A world in which the key has its own slice, at some holder. */
function isolatedAt(to: number): World {
  const isolated = settle(apply(start(), {kind: 'isolate'}));
  return settle(apply(isolated, {kind: 'move', to}));
}

/** Replays steps with a loss in the middle and returns what is broken. */
function replay(
  first: World,
  events: readonly Step[],
  gone: number | null,
): readonly string[] {
  const half = Math.floor(events.length / 2);
  const end: readonly Step[] =
    gone === null ? [] : [{kind: 'end', holder: gone}];
  let world = first;
  for (const event of [
    ...events.slice(0, half),
    ...end,
    ...events.slice(half),
  ]) {
    world = apply(world, event);
    if (executing(world).size > 1) return ['two servers'];
  }
  world = settle(world);
  const served = LEASES.some((_, index) => servingTerm(world, index));
  return served ? [] : ['no server in the end'];
}

testProp(
  'a key that becomes hot has one server at most, and one in the end',
  [steps, lost],
  (t, events, gone) => {
    t.deepEqual(replay(start(), events, gone), []);
  },
  {seed: 20261203, numRuns: 1000},
);

testProp(
  'a key that has been hot has one server at most, and one in the end',
  [holder, steps, lost],
  (t, at, events, gone) => {
    t.deepEqual(replay(isolatedAt(at), events, gone), []);
  },
  {seed: 20261203, numRuns: 1000},
);
