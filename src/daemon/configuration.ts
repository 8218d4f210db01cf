import type {
  AcceptedConfiguration,
  Configuration,
  Service,
} from '../model/index.js';
import {
  applyAccepted,
  configurationInForce,
  NO_CONFIGURATION,
  versionInForce,
} from '../settings/index.js';
import type {Log} from '../telemetry/index.js';
import {DAEMON_EVENTS} from './events.js';

/** The configuration of a daemon's site. Its version never decreases. */
export interface SiteConfiguration {
  readonly current: () => Configuration | undefined;
  readonly version: () => number;
  readonly service: (name: string) => Service | undefined;
  /**
   * Applies a received configuration if its version is higher than the one in
   * force.
   */
  readonly apply: (accepted: AcceptedConfiguration) => void;
}

/**
 * Creates the configuration of a site, initially with no version in force.
 *
 * @param onChange Called with the previous configuration after a change.
 *
 * @example
 * const configuration = createSiteConfiguration('brussels', log, () => {});
 */
export function createSiteConfiguration(
  site: string,
  log: Log,
  onChange: (before: Configuration | undefined) => void,
): SiteConfiguration {
  let inForce = NO_CONFIGURATION;
  const current = () => configurationInForce(inForce, site);
  return {
    current,
    version: () => versionInForce(inForce),
    service: name =>
      current()?.services.find(candidate => candidate.name === name),
    apply: accepted => {
      const next = applyAccepted(inForce, accepted);
      if (next === inForce) return;
      const before = current();
      inForce = next;
      const {version} = accepted;
      if (!current()) log(DAEMON_EVENTS.configurationIgnored, {site});
      log(DAEMON_EVENTS.configurationInForce, {version});
      onChange(before);
    },
  };
}
