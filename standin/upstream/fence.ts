/**
 * A slice, with the epoch under which the upstream may execute its requests.
 */
export interface GrantedSlice {
  readonly slice: number;
  readonly epoch: number;
}

/** The body of `POST /grants`. */
export interface Grant {
  /** Random identifier of the daemon's process. */
  readonly process: string;
  /** Increases with each grant of a process. */
  readonly sequence: number;
  /** Expiry of the grant on the upstream's clock, in milliseconds. */
  readonly until: number;
  readonly slices: readonly GrantedSlice[];
}

/** The grant in force, and the replaced processes whose grants are refused. */
export interface Fence {
  readonly grant?: Grant;
  readonly epochs: ReadonlyMap<number, number>;
  readonly retired: ReadonlySet<string>;
}

/** The fence after a grant; a refused grant leaves it unchanged. */
export interface FenceDecision {
  readonly fence: Fence;
  readonly accepted: boolean;
}

/** A fence that admits no request. */
export const CLOSED_FENCE: Fence = {epochs: new Map(), retired: new Set()};

/**
 * Applies a grant. A grant of a new process replaces the grant of the earlier
 * process, whose later grants are refused. A grant that arrives after a newer
 * one of the same process is accepted and has no effect.
 *
 * @example
 * applyGrant(CLOSED_FENCE, {process: 'p', sequence: 1, until: 0, slices: []}).accepted; // true
 */
export function applyGrant(fence: Fence, grant: Grant): FenceDecision {
  if (fence.retired.has(grant.process)) return {fence, accepted: false};
  const current = fence.grant;
  const isSame = current?.process === grant.process;
  if (current && isSame && current.sequence >= grant.sequence) {
    return {fence, accepted: true};
  }
  const retired =
    current && !isSame
      ? new Set([...fence.retired, current.process])
      : fence.retired;
  const epochs = new Map(grant.slices.map(s => [s.slice, s.epoch]));
  return {fence: {grant, epochs, retired}, accepted: true};
}

/**
 * Returns whether a request for a slice may execute at this time.
 *
 * @param clock The upstream's clock, in milliseconds.
 *
 * @example
 * isGranted(CLOSED_FENCE, {slice: 0, epoch: 1}, 0); // false
 */
export function isGranted(
  fence: Fence,
  {slice, epoch}: GrantedSlice,
  clock: number,
): boolean {
  const until = fence.grant?.until ?? 0;
  return clock < until && fence.epochs.get(slice) === epoch;
}
