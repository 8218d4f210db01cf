import {
  formatLease,
  leaseOf,
  type Chunk,
  type LeaseId,
  type SliceId,
} from '../../src/model/index.js';
import {
  chunkOfSlice,
  planChunk,
  planMoves,
  createMoveState,
  type Move,
  type MoveState,
  type SliceLoad,
} from '../../src/placement/index.js';
import type {NamedPolicy, Policy, Snapshot} from './policy.js';

/** Plans that a chunk may need before it is at rest. */
const MAX_PLANS_PER_CHUNK = 10;

/** The project's own placement: `planChunk` with the moves of `planMoves`. */
export const PLANNER: NamedPolicy = {
  name: 'vanillaspool',
  create: createPlanner,
};

function createPlanner(): Policy {
  let chunks: readonly (Chunk | undefined)[] = [];
  let state: MoveState | undefined;
  const startTimes = new Map<string, number>();
  return view => {
    recordStartTimes(startTimes, view);
    const indexes = Array.from({length: view.service.chunks}, (_, i) => i);
    if (view.hasChanged || chunks.length === 0) {
      chunks = indexes.map(i => planUntilStable(view, i, chunks[i], []));
    }
    const plan = planMoves(state ?? createMoveState(view.now), {
      now: view.now,
      weights: view.weights,
      members: view.members.filter(m => m.state === 'serving'),
      servingSince: instance => startTimes.get(instance) ?? -Infinity,
      slices: sliceLoads(view, chunks),
    });
    state = plan.state;
    chunks = applyMoves(view, chunks, plan.moves);
    return ownersOf(chunks);
  };
}

/** Notes when each new lease was first seen; the first members are warm. */
function recordStartTimes(
  startTimes: Map<string, number>,
  view: Snapshot,
): void {
  const isFirstCall = startTimes.size === 0;
  for (const member of view.members) {
    const lease = formatLease(leaseOf(member));
    if (startTimes.has(lease)) continue;
    startTimes.set(lease, view.now);
    startTimes.set(member.instance, isFirstCall ? -Infinity : view.now);
  }
}

function applyMoves(
  view: Snapshot,
  chunks: readonly (Chunk | undefined)[],
  moves: readonly Move[],
): readonly (Chunk | undefined)[] {
  if (moves.length === 0) return chunks;
  return chunks.map((chunk, i) => {
    const own = moves.filter(m => chunkOfSlice(view.service, m.slice) === i);
    return own.length > 0 ? planUntilStable(view, i, chunk, own) : chunk;
  });
}

/** Plans a chunk until it is at rest, with every release made at once. */
function planUntilStable(
  view: Snapshot,
  index: number,
  start: Chunk | undefined,
  moves: readonly Move[],
): Chunk | undefined {
  const liveLeases = new Set(
    view.members
      .filter(m => m.state !== 'ended')
      .map(m => formatLease(leaseOf(m))),
  );
  const ended = (lease: LeaseId) => !liveLeases.has(formatLease(lease));
  let chunk = start;
  let pending = moves;
  for (let round = 0; round < MAX_PLANS_PER_CHUNK; round++) {
    const released = releasedEpochs(chunk);
    const {service, members} = view;
    const input = {service, index, chunk, members, ended, released};
    const next = planChunk({...input, moves: pending});
    if (!next) return chunk;
    chunk = next;
    pending = [];
  }
  throw new Error(`chunk ${index} does not come to rest`);
}

function releasedEpochs(chunk: Chunk | undefined): (slice: SliceId) => number {
  const epochs = new Map(chunk?.slices.map(s => [s.slice, s.wantedFrom - 1]));
  return ({slice}) => epochs.get(slice) ?? 0;
}

function sliceLoads(
  view: Snapshot,
  chunks: readonly (Chunk | undefined)[],
): readonly SliceLoad[] {
  return ownersOf(chunks).map((owner, slice) => {
    return {slice, owner, load: view.loads[slice], isSettled: true};
  });
}

function ownersOf(chunks: readonly (Chunk | undefined)[]): readonly string[] {
  return chunks.flatMap(chunk => {
    const slices = chunk?.slices ?? [];
    return slices.map(
      ({terms, wantedFrom}) =>
        terms.find(t => t.epoch >= wantedFrom)?.lease.instance ?? '',
    );
  });
}
