import {
  formatLease,
  formatSlice,
  type Chunk,
  type LeaseId,
  type Member,
  type Service,
  type SliceId,
} from '../../src/model/index.js';
import type {ChunkInput} from '../../src/placement/index.js';

const ADDRESS = {host: '127.0.0.1', port: 1};

export function service(changes: Partial<Service> = {}): Service {
  return {
    name: 'rota-display',
    pathPrefix: '/rota/',
    key: {path: '/rota/{key}'},
    slices: 8,
    chunks: 2,
    priority: 1,
    deadlineMs: 1000,
    fencing: 'enforced',
    successors: 2,
    ...changes,
  };
}

export function member(
  instance: string,
  changes: Partial<Member> = {},
): Member {
  return {
    instance,
    generation: 1,
    process: `${instance}-process`,
    state: 'serving',
    service: 'rota-display',
    site: 'newsroom',
    region: 'r1',
    domain: 'd1',
    callers: ADDRESS,
    peers: ADDRESS,
    control: ADDRESS,
    slots: 12,
    connections: 130,
    witnesses: {number: 1, witnesses: []},
    ...changes,
  };
}

/** Returns members named a, b, c, ..., assigned to failure domains in turn. */
export function fleet(size: number, domains = 4): readonly Member[] {
  return Array.from({length: size}, (_, i) =>
    member(String.fromCharCode(97 + i), {domain: `d${i % domains}`}),
  );
}

export function lease(instance: string, generation = 1): LeaseId {
  return {instance, generation};
}

/**
 * Returns planner input in which the given leases have ended and the terms up
 * to the given epochs, by `releaseKey`, are released.
 */
export function evidence(
  endedLeases: readonly LeaseId[] = [],
  releases: ReadonlyMap<string, number> = new Map(),
): Pick<ChunkInput, 'ended' | 'released'> {
  const names = new Set(endedLeases.map(formatLease));
  return {
    ended: id => names.has(formatLease(id)),
    released: (slice, id) => releases.get(releaseKey(slice, id)) ?? 0,
  };
}

export function releaseKey(slice: SliceId, id: LeaseId): string {
  return `${formatSlice(slice)} ${formatLease(id)}`;
}

/**
 * Returns a chunk of one slice whose terms belong to the given leases in order.
 */
export function chunkOf(
  leases: readonly LeaseId[],
  wantedFrom = 1,
  firstEpoch = 1,
): Chunk {
  const terms = leases.map((id, i) => ({lease: id, epoch: firstEpoch + i}));
  const slices = [{slice: 0, wantedFrom, terms}];
  return {service: 'rota-display', index: 0, slices};
}

/** Returns the owner of each slice of a chunk: its first wanted lease. */
export function ownersOf(chunk: Chunk): readonly string[] {
  return chunk.slices.map(
    s => s.terms.find(t => t.epoch >= s.wantedFrom)?.lease.instance ?? '',
  );
}
