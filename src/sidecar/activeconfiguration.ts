import {
  createRouteTable,
  type ActiveConfiguration,
  type RoutedConfiguration,
} from '../relay/index.js';
import type {StoredChange} from '../fleet/index.js';
import type {Log} from '../telemetry/index.js';
import {SIDECAR_EVENTS} from './events.js';

/**
 * A configuration without the parts that could not be parsed, and a finding for
 * each of these. The configuration is undefined when it cannot be applied at
 * all.
 */
export interface ConfigurationResult {
  readonly configuration?: RoutedConfiguration;
  readonly findings: readonly string[];
}

/** Settings of the configuration in force at a daemon. */
export interface ConfigurationOptions {
  /** Key of the configuration in the store. */
  readonly configurationKey: string;
  readonly readConfiguration: (text: string) => ConfigurationResult;
  readonly log: Log;
  /** Called with each configuration that comes into force. */
  readonly onApplied: (configuration: ActiveConfiguration) => void;
}

/** The configuration in force at a daemon. */
export interface ConfigurationInForce {
  readonly current: () => ActiveConfiguration | undefined;
  /** Number of values in it that could not be parsed. */
  readonly unreadableValueCount: () => number;
  /** Returns whether the newest configuration was rejected. */
  readonly isNewestRejected: () => boolean;
  /** Applies a change of the store if it is a newer configuration. */
  readonly apply: (change: StoredChange) => void;
}

/**
 * Creates the configuration in force, initially none. An older version than the
 * one in force is ignored.
 *
 * @example
 * const configuration = createConfigurationInForce(options);
 * configuration.apply({key: 'config/main', value: text});
 */
export function createConfigurationInForce(
  options: ConfigurationOptions,
): ConfigurationInForce {
  const {log} = options;
  let current: ActiveConfiguration | undefined;
  let unreadableValueCount = 0;
  let isRejected = false;
  return {
    current: () => current,
    unreadableValueCount: () => unreadableValueCount,
    isNewestRejected: () => isRejected,
    apply: change => {
      if (change.key !== options.configurationKey) return;
      if (change.value === undefined) return;
      const read = options.readConfiguration(change.value);
      const findings = read.findings.join('; ');
      isRejected = read.configuration === undefined;
      if (!read.configuration) {
        log(SIDECAR_EVENTS.configurationRejected, {findings});
        return;
      }
      const {version, routes} = read.configuration;
      if (current && version <= current.version) return;
      current = {...read.configuration, table: createRouteTable(routes)};
      unreadableValueCount = read.findings.length;
      if (unreadableValueCount > 0) {
        log(SIDECAR_EVENTS.configurationPartial, {version, findings});
      }
      log(SIDECAR_EVENTS.configurationApplied, {
        version,
        routes: routes.length,
      });
      options.onApplied(current);
    },
  };
}
