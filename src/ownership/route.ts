import {formatSlice, leaseOf, sameLease} from '../model/index.js';
import type {Member, Route, Term} from '../model/index.js';
import {mayServe} from './tenure.js';
import type {State} from './state.js';
import {leaseEnded, termEnded} from './view.js';

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
  if (isOwn(state, terms[0])) {
    return leaving(state) ? remote(state, terms) : {kind: 'wait'};
  }
  return remote(state, terms);
}

/**
 * Returns the members of a service that new requests may be sent to.
 *
 * @example
 * const candidates = liveMembers(state, 'season-import');
 */
export function liveMembers(state: State, service: string): readonly Member[] {
  return [...state.view.members.values()].filter(
    member =>
      member.service === service &&
      member.state === 'serving' &&
      !leaseEnded(state.view, leaseOf(member)),
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
    term => !termEnded(state.view, service, slice, term),
  );
  const began = state.view.began.get(id);
  if (!began) return live;
  const isBegan = (term: Term) => sameLease(term.lease, began.lease);
  return [...live.filter(isBegan), ...live.filter(term => !isBegan(term))];
}

function remote(state: State, terms: readonly Term[]): Route {
  const candidates: Member[] = [];
  for (const term of terms) {
    const member = state.view.members.get(term.lease.instance);
    if (!member || isOwn(state, term)) continue;
    if (!candidates.includes(member)) candidates.push(member);
  }
  if (candidates.length === 0) return {kind: 'none'};
  const epoch = Math.max(...terms.map(term => term.epoch));
  return {kind: 'remote', candidates, epoch};
}

function isOwn(state: State, term: Term): boolean {
  return sameLease(term.lease, state.holder.lease);
}

function leaving(state: State): boolean {
  const {draining, upstream} = state;
  return (
    draining || upstream?.healthy === false || upstream?.isLeaving === true
  );
}
