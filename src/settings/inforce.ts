import type {AcceptedConfiguration, Configuration} from '../model/index.js';

/** The configuration in force at one daemon. */
export interface ConfigurationState {
  readonly accepted?: AcceptedConfiguration;
}

/** State of a daemon that has not received a configuration. */
export const NO_CONFIGURATION: ConfigurationState = {};

/**
 * Applies a received configuration. Only a higher version has an effect, so
 * deliveries may be repeated, lost or reordered.
 *
 * @example
 * applyAccepted(applyAccepted(NO_CONFIGURATION, v5), v4).accepted === v5; // true
 */
export function applyAccepted(
  state: ConfigurationState,
  accepted: AcceptedConfiguration,
): ConfigurationState {
  return accepted.version > versionInForce(state) ? {accepted} : state;
}

/**
 * Returns the version in force, or 0 if there is none.
 *
 * @example
 * versionInForce(NO_CONFIGURATION); // 0
 */
export function versionInForce(state: ConfigurationState): number {
  return state.accepted?.version ?? 0;
}

/**
 * Returns the configuration in force for a site, or undefined if there is none.
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
