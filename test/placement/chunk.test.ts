import test from 'ava';
import type {Chunk, Member} from '../../src/model/index.js';
import {planChunk, type ChunkInput} from '../../src/placement/index.js';
import {
  chunkOf,
  evidence,
  fleet,
  lease,
  member,
  ownersOf,
  releaseKey,
  service,
} from './fixtures.js';

const ONE_SLICE = service({slices: 1, chunks: 1});

function plan(changes: Partial<ChunkInput>): Chunk | undefined {
  return planChunk({
    service: ONE_SLICE,
    index: 0,
    chunk: undefined,
    members: fleet(4),
    ...evidence(),
    ...changes,
  });
}

function chain(chunk: Chunk | undefined): string {
  const [record] = chunk?.slices ?? [];
  const terms = record?.terms.map(t => `${t.lease.instance}${t.epoch}`) ?? [];
  return `${terms.join(' ')} from ${record?.wantedFrom}`;
}

test('creates balanced chunks regardless of the order of members', t => {
  const members = fleet(4);
  const of = (index: number, list: readonly Member[]) =>
    plan({service: service(), index, members: list});
  const owners = [0, 1].flatMap(i => ownersOf(of(i, members)!));
  for (const {instance} of members) {
    t.is(owners.filter(owner => owner === instance).length, 2);
  }
  t.deepEqual(of(1, members), of(1, members.toReversed()));
});

test('prefers successors in other failure domains and puts other regions last', t => {
  const members = [
    member('a', {domain: 'd1'}),
    member('b', {domain: 'd1'}),
    member('c', {domain: 'd2'}),
    member('x', {domain: 'd1', region: 'r2'}),
  ];
  const chunk = chunkOf([lease('a')]);
  t.is(chain(plan({chunk, members})), 'a1 a2 c3 x4 from 2');
});

test('replaces an ended successor with higher epochs', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('c')]);
  const next = plan({chunk, ...evidence([lease('b')])});
  t.is(chain(next), 'a1 c3 a4 c5 d6 from 4');
});

test('makes the first successor the owner after a loss', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('c')]);
  const next = plan({chunk, ...evidence([lease('a')])});
  t.is(chain(next), 'b2 c3 b4 c5 d6 from 4');
});

test('moves the slice of a draining owner to its first standby successor', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('c')]);
  const members = fleet(4).map(m =>
    m.instance === 'a' ? {...m, state: 'draining' as const} : m,
  );
  t.is(chain(plan({chunk, members})), 'a1 b2 c3 b4 c5 d6 from 4');
});

test('moves a slice and keeps its old owner as the first successor', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('c')]);
  const moves = [{slice: 0, to: 'd'}];
  t.is(chain(plan({chunk, moves})), 'a1 b2 c3 d4 a5 b6 from 4');
});

test('does not move a slice again before earlier terms are released', t => {
  const leases = ['a', 'b', 'c', 'd', 'a', 'b'].map(name => lease(name));
  const chunk = chunkOf(leases, 4);
  t.is(plan({chunk, moves: [{slice: 0, to: 'c'}]}), undefined);
});

test('drops released terms but keeps the highest epoch', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('b')], 2);
  const releases = new Map([
    [releaseKey({service: 'rota-display', slice: 0}, lease('a')), 1],
    [releaseKey({service: 'rota-display', slice: 0}, lease('b')), 3],
  ]);
  const next = plan({chunk, members: [], ...evidence([], releases)});
  t.is(chain(next), 'b3 from 2');
});

test('assigns a new owner above all epochs when every lease has ended', t => {
  const chunk = chunkOf([lease('a'), lease('b'), lease('c')]);
  const gone = ['a', 'b', 'c'].map(name => lease(name));
  const members = [member('d')];
  t.is(chain(plan({chunk, members, ...evidence(gone)})), 'd4 from 4');
});

test('changes nothing without an eligible member', t => {
  t.is(plan({members: []}), undefined);
  t.throws(() => plan({index: 7}), {instanceOf: RangeError});
});
