import type {
  AcceptedConfiguration,
  Configuration,
  Service,
} from '../model/index.js';
import {differences, type Difference} from './difference.js';

/** Largest stored configuration, in bytes of its JSON text. */
export const STORED_BYTES_MAX = 1_000_000;

/** A change that an operator asks for. */
export interface Proposal {
  readonly sites: readonly Configuration[];
  /** Version that the author saw; 0 if there was none. */
  readonly basedOn: number;
  /** Random identifier of the change, kept through its retries. */
  readonly change: string;
  readonly author: string;
  /** Whether sites that the proposal leaves out are removed; else refused. */
  readonly removesSites?: boolean;
}

/** What the platform holds when a proposal is decided. */
export interface RecordedEntries {
  readonly current?: AcceptedConfiguration;
  /**
   * The entry that directly follows the version a proposal is based on, if
   * the current one is newer still.
   */
  readonly follower?: AcceptedConfiguration;
}

/** Why a proposal is refused. */
export type RefusalReason =
  'stale' | 'missing-site' | 'fixed-field' | 'too-large';

/** What becomes of a proposal. */
export type ChangeDecision =
  /** To be put over the current configuration. */
  | {readonly kind: 'accepted'; readonly accepted: AcceptedConfiguration}
  /** An earlier attempt of the same change took effect. */
  | {readonly kind: 'repeated'; readonly accepted: AcceptedConfiguration}
  /** The current configuration already says the same. */
  | {readonly kind: 'unchanged'; readonly accepted: AcceptedConfiguration}
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly current?: AcceptedConfiguration;
      /** From the current configuration to the proposed one. */
      readonly differences: readonly Difference[];
    };

/**
 * Decides on a proposal. The same proposal may be decided any number of times:
 * its change identifier tells whether an earlier attempt took effect.
 *
 * @param now Time of the decision, in milliseconds since the epoch.
 * @throws {RangeError} when `basedOn` is not a whole number from 0.
 *
 * @example
 * const decision = decideChange({current}, {sites, basedOn: 4, change, author}, now);
 * if (decision.kind === 'accepted') decision.accepted.version; // 5
 */
export function decideChange(
  recorded: RecordedEntries,
  proposal: Proposal,
  now: number,
): ChangeDecision {
  const {basedOn, change, sites} = proposal;
  if (!Number.isInteger(basedOn) || basedOn < 0) {
    throw new RangeError(`not a configuration version: ${basedOn}`);
  }
  const {current, follower} = recorded;
  const earlier = [current, follower].find(entry => entry?.change === change);
  if (earlier) return {kind: 'repeated', accepted: earlier};
  if (current && differences(current.sites, sites).length === 0) {
    return {kind: 'unchanged', accepted: current};
  }
  if ((current?.version ?? 0) !== basedOn) {
    return refuse('stale', current, sites);
  }
  return decideOnCurrent(current, proposal, now);
}

function decideOnCurrent(
  current: AcceptedConfiguration | undefined,
  proposal: Proposal,
  now: number,
): ChangeDecision {
  const {sites, basedOn, change, author} = proposal;
  const missing = missingSites(current?.sites ?? [], sites);
  if (missing.length > 0 && !proposal.removesSites) {
    const reason = 'missing-site';
    return {kind: 'refused', reason, current, differences: missing};
  }
  const fixed = fixedFieldDifferences(current?.sites ?? [], sites);
  if (fixed.length > 0) {
    return {
      kind: 'refused',
      reason: 'fixed-field',
      current,
      differences: fixed,
    };
  }
  const acceptedAt = new Date(now).toISOString();
  const accepted = {version: basedOn + 1, change, author, acceptedAt, sites};
  if (Buffer.byteLength(JSON.stringify(accepted)) > STORED_BYTES_MAX) {
    return refuse('too-large', current, sites);
  }
  return {kind: 'accepted', accepted};
}

function refuse(
  reason: RefusalReason,
  current: AcceptedConfiguration | undefined,
  sites: readonly Configuration[],
): ChangeDecision {
  const changed = differences(current?.sites ?? [], sites);
  return {kind: 'refused', reason, current, differences: changed};
}

/** Finds sites that are left out, as by an overlay that was forgotten. */
function missingSites(
  before: readonly Configuration[],
  after: readonly Configuration[],
): readonly Difference[] {
  const names = new Set(after.map(({site}) => site));
  return before
    .filter(({site}) => !names.has(site))
    .map(({site}) => ({site, path: 'site', before: JSON.stringify(site)}));
}

/**
 * Finds changes of the fields that decide in which slice a key is. They are
 * fixed while a service exists: two daemons that differ on them would serve
 * one key under two slices.
 */
function fixedFieldDifferences(
  before: readonly Configuration[],
  after: readonly Configuration[],
): readonly Difference[] {
  const earlier = new Map(before.flatMap(servicesByName));
  return after.flatMap(({site, services}) =>
    services.flatMap(service => {
      const other = earlier.get(service.name);
      return other ? fixedServiceDifferences(site, other, service) : [];
    }),
  );
}

function servicesByName(configuration: Configuration) {
  return configuration.services.map(
    service => [service.name, service] as const,
  );
}

function fixedServiceDifferences(
  site: string,
  before: Service,
  after: Service,
): readonly Difference[] {
  return (['key', 'slices', 'chunks'] as const).flatMap(field => {
    const earlier = JSON.stringify(before[field]);
    const later = JSON.stringify(after[field]);
    if (earlier === later) return [];
    const path = `services.${after.name}.${field}`;
    return [{site, path, before: earlier, after: later}];
  });
}

/**
 * Proposes to go back to an earlier configuration, as a new version.
 *
 * @param entry The configuration to go back to, from the history.
 *
 * @example
 * goBack(entry, {basedOn: 9, change, author}).sites === entry.sites; // true
 */
export function proposeRollback(
  entry: AcceptedConfiguration,
  request: Omit<Proposal, 'sites'>,
): Proposal {
  return {...request, sites: entry.sites};
}
