import {chooseCoordinators} from '../membership/index.js';
import {leaseOf} from '../model/index.js';
import type {Chunk, Configuration, Member, Service} from '../model/index.js';
import {
  chunkSubject,
  hasLeaseEnded,
  OWNERSHIP_EVENTS,
  releasedEpoch,
} from '../ownership/index.js';
import type {State} from '../ownership/index.js';
import {chunkOfSlice, planChunk} from '../placement/index.js';
import type {Move} from '../placement/index.js';
import {chunkKey, putWithReadBack} from '../store/index.js';
import type {ObjectStore} from '../store/index.js';
import type {Log} from '../telemetry/index.js';
import type {ObjectMirror} from './mirror.js';

/** Time between two reviews of the chunks, in milliseconds. */
const REVIEW_INTERVAL_MS = 100;

/** Time for which no member may join before chunks are created. */
const JOIN_QUIET_MS = 1_500;

/** Longest time for which the creation of chunks waits for more members. */
const JOIN_WAIT_LIMIT_MS = 6_000;

/** What a steward needs. */
export interface CoordinatorOptions {
  readonly state: () => State;
  readonly configuration: () => Configuration | undefined;
  readonly platform: ObjectStore;
  readonly objects: ObjectMirror;
  /** Slices that are wished elsewhere. */
  readonly plannedMoves: (service: Service, state: State) => readonly Move[];
  /** Monotonic time in milliseconds. */
  readonly clock: () => number;
  readonly log: Log;
}

/**
 * Starts to plan the chunks that this daemon is the steward of. Two stewards of
 * one chunk are harmless, since a chunk is written conditionally.
 *
 * @returns The function that stops it.
 *
 * @example
 * const stop = startSteward(options);
 */
export function startCoordinator(options: CoordinatorOptions): () => void {
  const progress: Progress = {
    writing: new Set(),
    joins: {members: 0, firstAt: Infinity, lastAt: Infinity},
  };
  const timer = setInterval(
    () => reviewChunks(options, progress),
    REVIEW_INTERVAL_MS,
  );
  return () => clearInterval(timer);
}

/** What a steward remembers between reviews. */
interface Progress {
  readonly writing: Set<string>;
  joins: Joins;
}

/** When members joined. */
interface Joins {
  readonly members: number;
  readonly firstAt: number;
  readonly lastAt: number;
}

function recordJoins(joins: Joins, members: number, now: number): Joins {
  if (members === joins.members) return joins;
  const firstAt = Math.min(joins.firstAt, now);
  return {members, firstAt, lastAt: now};
}

/** Tells whether enough members may have joined to share the slices out. */
function canCreateChunks(joins: Joins, now: number): boolean {
  if (now - joins.lastAt >= JOIN_QUIET_MS) return true;
  return now - joins.firstAt >= JOIN_WAIT_LIMIT_MS;
}

function reviewChunks(options: CoordinatorOptions, progress: Progress): void {
  const {writing} = progress;
  const state = options.state();
  const now = options.clock();
  progress.joins = recordJoins(progress.joins, state.view.members.size, now);
  if (!state.isPlatformReachable) return;
  const services = options.configuration()?.services ?? [];
  const live = [...state.view.members.values()].filter(
    member => !hasLeaseEnded(state.view, leaseOf(member)),
  );
  for (const service of services.filter(({key}) => key !== undefined)) {
    const moves = options.plannedMoves(service, state);
    for (let index = 0; index < service.chunks; index++) {
      const key = chunkKey(service.name, index);
      const exists = state.view.chunks.has(`${service.name}/${index}`);
      if (
        writing.has(key) ||
        (!exists && !canCreateChunks(progress.joins, now))
      ) {
        continue;
      }
      const hasMove = moves.some(
        ({slice}) => chunkOfSlice(service, slice) === index,
      );
      if (!hasMove && !isCoordinator(state, service, index, live)) continue;
      const next = planNextChunk(state, service, index, moves);
      if (!next) continue;
      writing.add(key);
      void writeChunk(options, key, next).finally(() => writing.delete(key));
    }
  }
}

function isCoordinator(
  state: State,
  service: Service,
  index: number,
  live: readonly Member[],
): boolean {
  const subject = chunkSubject(service.name, index);
  const [coordinator] = chooseCoordinators(subject, live, 1);
  return coordinator?.instance === state.self.instance;
}

function planNextChunk(
  state: State,
  service: Service,
  index: number,
  moves: readonly Move[],
): Chunk | undefined {
  const {view} = state;
  const members = [...view.members.values()].filter(
    member => member.service === service.name,
  );
  return planChunk({
    service,
    index,
    chunk: view.chunks.get(`${service.name}/${index}`),
    members,
    moves,
    ended: lease => hasLeaseEnded(view, lease),
    released: (id, lease) => releasedEpoch(view, id.service, id.slice, lease),
  });
}

async function writeChunk(
  options: CoordinatorOptions,
  key: string,
  chunk: Chunk,
): Promise<void> {
  const {platform, objects, log} = options;
  const value = JSON.stringify(chunk);
  const expected = objects.version(key);
  const result = await putWithReadBack(platform, key, value, expected);
  if (result.kind === 'stored') {
    objects.recordDirect({key, value, version: result.version});
    log(OWNERSHIP_EVENTS.chunkPlanned, {key, version: result.version});
  } else if (result.kind === 'conflict' && result.current) {
    objects.recordDirect(result.current);
    log(OWNERSHIP_EVENTS.chunkConflict, {key});
  }
}
