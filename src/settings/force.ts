import type {AcceptedConfiguration, Configuration} from '../model/index.js';

/** The configuration in force at one daemon. */
export interface InForce {
  readonly accepted?: AcceptedConfiguration;
}

/** A daemon that has not heard of any configuration. */
export const NOTHING_IN_FORCE: InForce = {};

/**
 * Applies an accepted configuration that was heard of. Only a higher version
 * has an effect, so that deliveries may be repeated, lost or reordered.
 *
 * @example
 * applyAccepted(applyAccepted(NOTHING_IN_FORCE, v5), v4).accepted === v5; // true
 */
export function applyAccepted(
  state: InForce,
  accepted: AcceptedConfiguration,
): InForce {
  return accepted.version > versionInForce(state) ? {accepted} : state;
}

/**
 * Returns the version in force, or 0 before the first.
 *
 * @example
 * versionInForce(NOTHING_IN_FORCE); // 0
 */
export function versionInForce(state: InForce): number {
  return state.accepted?.version ?? 0;
}

/**
 * Returns the configuration in force for a site, if it has one.
 *
 * @example
 * configurationInForce(state, 'newsroom')?.services;
 */
export function configurationInForce(
  state: InForce,
  site: string,
): Configuration | undefined {
  return state.accepted?.sites.find(candidate => candidate.site === site);
}
