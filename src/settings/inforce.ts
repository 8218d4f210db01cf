import type {AcceptedConfiguration, Configuration} from '../model/index.js';

/**
 * The configuration in force at one daemon, for all sites; empty before the
 * first is received.
 */
export interface ConfigurationState {
  readonly accepted?: AcceptedConfiguration;
}

/** State of a daemon that has not received a configuration. */
export const NO_CONFIGURATION: ConfigurationState = {};

/**
 * Applies a received configuration if its version is higher than the one in
 * force. Deliveries may therefore be repeated, lost or reordered: repeated and
 * outdated ones have no effect, and any later version makes up for a lost one.
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
