import {formatLease, formatSlice, sliceOfKey} from '../model/index.js';
import type {Explanation, Service, Term} from '../model/index.js';
import {hasLeaseEnded, liveTerms, releasedEpoch} from '../ownership/index.js';
import type {State} from '../ownership/index.js';

/**
 * Explains the route of a key from the ownership state known to this daemon.
 *
 * @example
 * explainKey(state, service, 'night-desk').reasons.join('\n');
 */
export function explainKey(
  state: State,
  service: Service,
  key: string,
): Explanation {
  const slice = sliceOfKey(key, service.slices);
  const record = state.view.records.get(
    formatSlice({service: service.name, slice}),
  );
  const [owner] = liveTerms(state, service.name, slice);
  return {
    service: service.name,
    key,
    slice,
    owner: owner?.lease.instance,
    epoch: owner?.epoch,
    record,
    reasons: [
      `key "${key}" belongs to slice ${slice} of ${service.slices}`,
      ...(record?.terms ?? []).map(term =>
        explainTerm(state, service.name, slice, term),
      ),
      owner
        ? `${owner.lease.instance} serves the slice with epoch ${owner.epoch}`
        : 'no instance can serve the slice',
    ],
  };
}

/**
 * Describes one term of a slice and whether it is ended, released, begun or
 * recorded.
 */
function explainTerm(
  state: State,
  service: string,
  slice: number,
  term: Term,
): string {
  const subject = `epoch ${term.epoch} of ${formatLease(term.lease)}`;
  if (hasLeaseEnded(state.view, term.lease)) {
    return `${subject}: the lease has ended`;
  }
  if (releasedEpoch(state.view, service, slice, term.lease) >= term.epoch) {
    return `${subject}: released`;
  }
  const id = formatSlice({service, slice});
  const began = state.view.begunTerms.get(id);
  return began?.epoch === term.epoch
    ? `${subject}: has begun`
    : `${subject}: recorded`;
}
