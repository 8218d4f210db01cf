import {
  leaseOf,
  sameLease,
  type Chunk,
  type LeaseId,
  type Member,
  type Service,
  type SliceId,
  type SliceRecord,
} from '../model/index.js';
import {assignOwners} from './assign.js';
import {
  appendTerms,
  leasesOf,
  readChain,
  TERM_LIMIT,
  dropEndedTerms,
  type Chain,
} from './chain.js';
import {isUnusedHotSlice} from './hotkeys.js';
import {slicesOfChunk} from './layout.js';
import {holdersIn, poolOf, type Pool} from './pool.js';
import {
  chooseSuccessors,
  isFullyProtected,
  protectsBetter,
} from './successors.js';

/** A wish to give a slice to another instance. */
export interface Move {
  readonly slice: number;
  /** Instance that is to own the slice. */
  readonly to: string;
}

/** What the plan of one chunk depends on. */
export interface ChunkInput {
  readonly service: Service;
  readonly index: number;
  /** The chunk as recorded; undefined when it does not exist. */
  readonly chunk: Chunk | undefined;
  /** Registered members of the service, in any state and order. */
  readonly members: readonly Member[];
  /** Tells whether a lease is proved never to be renewed again. */
  readonly ended: (lease: LeaseId) => boolean;
  /**
   * Returns the epoch up to which a lease has released all its terms of a
   * slice; 0 when it has released none.
   */
  readonly released: (slice: SliceId, lease: LeaseId) => number;
  /** Moves to make where nothing more urgent is to be done. */
  readonly moves?: readonly Move[];
}

/** The input with what all slices of the chunk share. */
interface Scope extends ChunkInput {
  /** Members that may hold new terms. */
  readonly eligible: Pool;
  /** Returns the owner for a slice that no fit member is recorded for. */
  readonly assigned: (slice: number) => Member;
}

/**
 * Plans the next version of a chunk: creates it, replaces lost successors,
 * moves slices away from draining owners, makes the wished moves, and drops
 * terms that are over. Two daemons with the same input plan the same version.
 *
 * A term is dropped only when its lease has ended or it was released. New
 * terms are only appended, with an epoch above all that the slice has used.
 * No slice lists more than `TERM_LIMIT + 1 + service.successors` terms.
 *
 * @returns The next version, or undefined when there is nothing to change.
 * @throws {RangeError} when the service has no chunk of that index.
 *
 * @example
 * const next = planChunk({service, index: 3, chunk, members, ended, released});
 * if (next) await platform.put(chunkKey(service.name, 3), JSON.stringify(next), version);
 */
export function planChunk(input: ChunkInput): Chunk | undefined {
  const scope = scopeOf(input);
  if (!input.chunk) return createChunk(scope);
  const slices = input.chunk.slices.map(record => planSlice(scope, record));
  const changed = slices.some((record, i) => record !== input.chunk?.slices[i]);
  return changed ? {...input.chunk, slices} : undefined;
}

function scopeOf(input: ChunkInput): Scope {
  const members = input.members.filter(
    m => m.state === 'serving' && m.slots > 0 && !input.ended(leaseOf(m)),
  );
  let owners: readonly Member[] | undefined;
  const assigned = (slice: number) => {
    owners ??= assignOwners(input.service.slices, members);
    return owners[slice % owners.length];
  };
  return {...input, eligible: poolOf(members), assigned};
}

function createChunk(scope: Scope): Chunk | undefined {
  const {service, index} = scope;
  const numbers = slicesOfChunk(service, index);
  if (isEmpty(scope.eligible)) return undefined;
  const slices = numbers.map(slice => {
    const empty = {slice, wantedFrom: 1, terms: []};
    const chain = readChain(empty, () => false);
    return appendOwner(scope, chain, scope.assigned(slice), []);
  });
  return {service: service.name, index, slices};
}

function planSlice(scope: Scope, record: SliceRecord): SliceRecord {
  const id = {service: scope.service.name, slice: record.slice};
  const chain = readChain(
    record,
    ({lease, epoch}) =>
      scope.ended(lease) || scope.released(id, lease) >= epoch,
  );
  if (
    scope.chunk &&
    isUnusedHotSlice(scope.service, scope.chunk, record.slice)
  ) {
    return dropEndedTerms(chain);
  }
  const change = planRecovery(scope, chain) ?? planSettled(scope, chain);
  return change ?? dropEndedTerms(chain);
}

/** Restores a chain of which no fit owner, or no fit successor, is left. */
function planRecovery(scope: Scope, chain: Chain): SliceRecord | undefined {
  if (isEmpty(scope.eligible)) return undefined;
  const holders = eligibleHolders(scope, chain);
  if (chain.wanted.length === 0) {
    const [serving] = holdersIn(
      scope.eligible,
      leasesOf(chain.live.slice(0, 1)),
    );
    const owner = serving ?? scope.assigned(chain.record.slice);
    return appendOwner(scope, chain, owner, []);
  }
  const isSole = holders.length === 1 && leasesOf(chain.wanted).length === 1;
  return isSole ? planProtection(scope, chain, holders[0], []) : undefined;
}

/** Plans what may wait until the earlier terms have been released. */
function planSettled(scope: Scope, chain: Chain): SliceRecord | undefined {
  if (!chain.isSettled || chain.wanted.length === 0) return undefined;
  const [ownerLease] = leasesOf(chain.wanted);
  const [owner] = holdersIn(scope.eligible, [ownerLease]);
  const holders = eligibleHolders(scope, chain);
  if (owner) {
    const successors = holders.filter(m => m !== owner);
    return (
      planProtection(scope, chain, owner, successors) ??
      planMove(scope, chain, owner, successors)
    );
  }
  return isDraining(scope, ownerLease)
    ? planDrain(scope, chain, holders)
    : undefined;
}

function planProtection(
  scope: Scope,
  chain: Chain,
  owner: Member,
  successors: readonly Member[],
): SliceRecord | undefined {
  const wanted = scope.service.successors;
  if (isFullyProtected(owner, successors, wanted)) return undefined;
  const better = successorsFor(scope, chain, owner, successors);
  if (!protectsBetter(owner, better, successors)) return undefined;
  return appendIfRoom(chain, [owner, ...better]);
}

function planMove(
  scope: Scope,
  chain: Chain,
  owner: Member,
  successors: readonly Member[],
): SliceRecord | undefined {
  const move = scope.moves?.find(m => m.slice === chain.record.slice);
  if (!move || move.to === owner.instance) return undefined;
  const target = scope.eligible.byInstance.get(move.to)?.member;
  if (!target) return undefined;
  const kept = [owner, ...successors];
  const next = successorsFor(scope, chain, target, kept);
  return appendIfRoom(chain, [target, ...next]);
}

function planDrain(
  scope: Scope,
  chain: Chain,
  holders: readonly Member[],
): SliceRecord | undefined {
  if (isEmpty(scope.eligible)) return undefined;
  const [target = scope.assigned(chain.record.slice), ...kept] = holders;
  const next = successorsFor(scope, chain, target, kept);
  return appendIfRoom(chain, [target, ...next]);
}

function appendOwner(
  scope: Scope,
  chain: Chain,
  owner: Member,
  kept: readonly Member[],
): SliceRecord {
  const successors = successorsFor(scope, chain, owner, kept);
  return appendTerms(chain, [owner, ...successors].map(leaseOf));
}

function appendIfRoom(
  chain: Chain,
  members: readonly Member[],
): SliceRecord | undefined {
  if (chain.live.length >= TERM_LIMIT) return undefined;
  return appendTerms(chain, members.map(leaseOf));
}

function successorsFor(
  scope: Scope,
  chain: Chain,
  owner: Member,
  preferred: readonly Member[],
): readonly Member[] {
  return chooseSuccessors({
    slice: chain.record.slice,
    owner,
    preferred,
    pool: scope.eligible,
    count: scope.service.successors,
  });
}

/** Fit members that hold a wanted term, in the chain's order. */
function eligibleHolders(scope: Scope, chain: Chain): readonly Member[] {
  return holdersIn(scope.eligible, leasesOf(chain.wanted));
}

function isEmpty(pool: Pool): boolean {
  return pool.candidates.length === 0;
}

function isDraining(scope: Scope, lease: LeaseId): boolean {
  return scope.members.some(
    m => m.state === 'draining' && sameLease(leaseOf(m), lease),
  );
}
