import type {RequestResult, SlotUsage} from '../relay/index.js';
import type {CallKind, CallResult} from '../store/index.js';
import {
  METRICS,
  type CounterDefinition,
  type GaugeDefinition,
  type Metrics,
} from '../telemetry/index.js';

/** Metrics of a daemon that runs next to an instance. */
export const SIDECAR_METRICS = {
  refusals: {
    type: 'counter',
    name: 'vanillaspool_refusals_total',
    help: 'Failed requests of callers, by service and reason.',
    labels: ['service', 'reason'],
  },
  storeCalls: {
    type: 'counter',
    name: 'vanillaspool_store_calls_total',
    help: 'Calls to the store, by kind and result.',
    labels: ['kind', 'result'],
  },
  storeRestores: {
    type: 'counter',
    name: 'vanillaspool_store_restores_total',
    help: 'Times that the store came back from a copy, as seen by this daemon.',
    labels: [],
  },
  storeEra: {
    type: 'gauge',
    name: 'vanillaspool_store_era',
    help: 'Era of the store, which rises when it comes back from a copy; 0 if it names none.',
    labels: [],
  },
  recoveringMaps: {
    type: 'gauge',
    name: 'vanillaspool_recovering_maps',
    help: 'Range maps in recovery since the store came back from a copy.',
    labels: [],
  },
  slotSeconds: {
    type: 'counter',
    name: 'vanillaspool_slot_seconds_total',
    help: 'Time of the slots of the local instance, by use (inTime, late, failed, abandoned, idle).',
    labels: ['use'],
  },
  instanceRefusals: {
    type: 'counter',
    name: 'vanillaspool_instance_refusals_total',
    help: 'Requests refused by the daemon beside the instance that was to run them, by reason.',
    labels: ['reason'],
  },
  configurationVersion: {
    type: 'gauge',
    name: 'vanillaspool_configuration_version',
    help: 'Version of the configuration in force.',
    labels: [],
  },
  unreadableValues: {
    type: 'gauge',
    name: 'vanillaspool_configuration_unreadable_values',
    help: 'Values of the configuration in force that could not be parsed.',
    labels: [],
  },
  configurationRefused: {
    type: 'gauge',
    name: 'vanillaspool_configuration_refused',
    help: '1 while the newest configuration is rejected as invalid.',
    labels: [],
  },
  instanceBusy: {
    type: 'gauge',
    name: 'vanillaspool_instance_busy',
    help: 'Requests that run or are queued at the local instance.',
    labels: [],
  },
  instanceLimit: {
    type: 'gauge',
    name: 'vanillaspool_instance_limit',
    help: 'Rate limit of the local instance, in requests per second; -1 if none.',
    labels: [],
  },
  quarantinedRequests: {
    type: 'gauge',
    name: 'vanillaspool_quarantined_requests',
    help: 'Requests in quarantine because instances ended when they ran them.',
    labels: [],
  },
  intakeWaiting: {
    type: 'gauge',
    name: 'vanillaspool_intake_waiting',
    help: 'Requests queued at the intake until the event loop can process them.',
    labels: [],
  },
  loopDelay: {
    type: 'gauge',
    name: 'vanillaspool_loop_delay_seconds',
    help: 'Event loop delay: lateness of the last periodic timer.',
    labels: [],
  },
} as const satisfies Readonly<
  Record<string, CounterDefinition | GaugeDefinition>
>;

/** Records the requests, slot usage and store calls of a daemon. */
export interface MetricsRecorder {
  readonly recordRequest: (request: RequestResult) => void;
  readonly recordSlotUsage: (usage: SlotUsage) => void;
  readonly recordStoreCall: (kind: CallKind, result: CallResult) => void;
  /** Records that the store came back from a copy. */
  readonly recordStoreRestored: () => void;
}

const MS_PER_SECOND = 1000;

/** Values of the outcome label, by outcome of a request. */
const OUTCOME_LABELS = {
  answered: 'answered',
  'not-run': 'not-run',
  unknown: 'unknown',
  broken: 'unknown',
  cancelled: 'cancelled',
} as const;

/**
 * Creates a recorder of requests, slot usage and store calls.
 *
 * @example
 * const recorder = createMetricsRecorder(createMetrics());
 */
export function createMetricsRecorder(metrics: Metrics): MetricsRecorder {
  const requests = memoize((service, outcome) =>
    metrics.counter(METRICS.requests, {service, outcome}),
  );
  const durations = memoize(service =>
    metrics.histogram(METRICS.requestSeconds, {service, sender: 'caller'}),
  );
  const refusals = memoize((service, reason) =>
    metrics.counter(SIDECAR_METRICS.refusals, {service, reason}),
  );
  return {
    recordRequest: ({service, outcome, reason, timeMs}) => {
      requests(service, OUTCOME_LABELS[outcome])();
      durations(service, '')(timeMs / MS_PER_SECOND);
      if (reason) refusals(service, reason)();
    },
    recordSlotUsage: ({usedMs, idleMs, refused}) => {
      for (const [use, ms] of Object.entries({...usedMs, idle: idleMs})) {
        const seconds = ms / MS_PER_SECOND;
        metrics.counter(SIDECAR_METRICS.slotSeconds, {use})(seconds);
      }
      for (const [reason, count] of refused) {
        metrics.counter(SIDECAR_METRICS.instanceRefusals, {reason})(count);
      }
    },
    recordStoreCall: (kind, result) => {
      metrics.counter(SIDECAR_METRICS.storeCalls, {kind, result})();
    },
    recordStoreRestored: metrics.counter(SIDECAR_METRICS.storeRestores, {}),
  };
}

/** Keeps the result for each pair of labels, so that it is looked up once. */
function memoize<T>(
  create: (first: string, second: string) => T,
): (first: string, second: string) => T {
  const known = new Map<string, Map<string, T>>();
  return (first, second) => {
    let bySecond = known.get(first);
    if (!bySecond) known.set(first, (bySecond = new Map()));
    let result = bySecond.get(second);
    if (result === undefined) {
      result = create(first, second);
      bySecond.set(second, result);
    }
    return result;
  };
}
