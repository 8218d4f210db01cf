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

/** The configuration of a daemon's site, whose version only grows. */
export interface SiteConfiguration {
  readonly current: () => Configuration | undefined;
  readonly version: () => number;
  readonly service: (name: string) => Service | undefined;
  /** Takes an accepted configuration that was heard of. */
  readonly apply: (accepted: AcceptedConfiguration) => void;
}

/**
 * Creates the configuration of a site, with nothing in force yet.
 *
 * @param onChange Called after another configuration came into force.
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
