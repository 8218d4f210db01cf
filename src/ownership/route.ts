import {formatSlice, leaseOf, sameLease} from '../model/index.js';
import type {Member, Route, Term} from '../model/index.js';
import {mayServe} from './terms.js';
import type {State} from './state.js';
import {hasLeaseEnded, hasTermEnded} from './view.js';

/**
 * Finds where the requests of a slice go, as far as this daemon knows.
 *
 * @example
 * routeOf(state, 'rota-display', 7, now).kind; // 'local' at the owner
 */
export function routeOf(
  state: State,
  service: string,
  slice: number,
  now: number,
): Route {
  const id = formatSlice({service, slice});
  const holding = state.holdings.get(id);
  if (holding?.state === 'serving' && mayServe(state, now)) {
    return {kind: 'local', epoch: holding.epoch};
  }
  const terms = liveTerms(state, service, slice);
  if (terms.length === 0) return {kind: 'none'};
  if (isOwnTerm(state, terms[0])) {
    return isReleasingSlices(state)
      ? remoteRoute(state, terms)
      : {kind: 'wait'};
  }
  return remoteRoute(state, terms);
}

/**
 * Returns the members of a service that new requests may be sent to.
 *
 * @example
 * const candidates = liveMembers(state, 'season-import');
 */
export function routableMembers(
  state: State,
  service: string,
): readonly Member[] {
  return [...state.view.members.values()].filter(
    member =>
      member.service === service &&
      member.state === 'serving' &&
      !hasLeaseEnded(state.view, leaseOf(member)),
  );
}

/**
 * Returns the terms of a slice that may be in force, the one believed to be
 * served first.
 *
 * @example
 * const [owner] = liveTerms(state, 'rota-display', 7);
 */
export function liveTerms(
  state: State,
  service: string,
  slice: number,
): readonly Term[] {
  const id = formatSlice({service, slice});
  const record = state.view.records.get(id);
  if (!record) return [];
  const live = record.terms.filter(
    term => !hasTermEnded(state.view, service, slice, term),
  );
  const began = state.view.begunTerms.get(id);
  if (!began) return live;
  const hasBegun = (term: Term) => sameLease(term.lease, began.lease);
  return [...live.filter(hasBegun), ...live.filter(term => !hasBegun(term))];
}

function remoteRoute(state: State, terms: readonly Term[]): Route {
  const candidates: Member[] = [];
  for (const term of terms) {
    const member = state.view.members.get(term.lease.instance);
    if (!member || isOwnTerm(state, term)) continue;
    if (!candidates.includes(member)) candidates.push(member);
  }
  if (candidates.length === 0) return {kind: 'none'};
  const epoch = Math.max(...terms.map(term => term.epoch));
  return {kind: 'remote', candidates, epoch};
}

function isOwnTerm(state: State, term: Term): boolean {
  return sameLease(term.lease, state.holder.lease);
}

function isReleasingSlices(state: State): boolean {
  const {isDraining: isDraining, upstream} = state;
  return (
    isDraining || upstream?.isHealthy === false || upstream?.isLeaving === true
  );
}
