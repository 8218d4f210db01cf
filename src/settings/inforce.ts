import type {AcceptedConfiguration, Configuration} from '../model/index.js';

/** The configuration in force at one daemon. */
export interface ConfigurationState {
  readonly accepted?: AcceptedConfiguration;
}

/** A daemon that has not heard of any configuration. */
export const NO_CONFIGURATION: ConfigurationState = {};

/**
 * Applies an accepted configuration that was heard of. Only a higher version
 * has an effect, so that deliveries may be repeated, lost or reordered.
 *
 * @example
 * applyAccepted(applyAccepted(NOTHING_IN_FORCE, v5), v4).accepted === v5; // true
 */
export function applyAccepted(
  state: ConfigurationState,
  accepted: AcceptedConfiguration,
): ConfigurationState {
  return accepted.version > versionInForce(state) ? {accepted} : state;
}

/**
 * Returns the version in force, or 0 before the first.
 *
 * @example
 * versionInForce(NOTHING_IN_FORCE); // 0
 */
export function versionInForce(state: ConfigurationState): number {
  return state.accepted?.version ?? 0;
}

/**
 * Returns the configuration in force for a site, if it has one.
 *
 * @example
 * configurationInForce(state, 'newsroom')?.services;
 */
export function configurationInForce(
  state: ConfigurationState,
  site: string,
): Configuration | undefined {
  return state.accepted?.sites.find(candidate => candidate.site === site);
}
