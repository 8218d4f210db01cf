import type {RequestResult} from '../relay/index.js';
import type {CallKind, CallResult} from '../store/index.js';
import {
  METRICS,
  type CounterDefinition,
  type GaugeDefinition,
  type Metrics,
} from '../telemetry/index.js';

/** Metrics of a daemon beside an instance. */
export const SIDECAR_METRICS = {
  refusals: {
    type: 'counter',
    name: 'vanillaspool_refusals_total',
    help: 'Requests of callers that failed, by service and reason.',
    labels: ['service', 'reason'],
  },
  storeCalls: {
    type: 'counter',
    name: 'vanillaspool_store_calls_total',
    help: 'Calls to the store, by kind and result.',
    labels: ['kind', 'result'],
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
    help: 'Values of the configuration in force that could not be read.',
    labels: [],
  },
  configurationRefused: {
    type: 'gauge',
    name: 'vanillaspool_configuration_refused',
    help: '1 while the newest configuration could not be put in force.',
    labels: [],
  },
  instanceBusy: {
    type: 'gauge',
    name: 'vanillaspool_instance_busy',
    help: 'Requests that run or wait at the instance beside.',
    labels: [],
  },
  instanceLimit: {
    type: 'gauge',
    name: 'vanillaspool_instance_limit',
    help: 'Requests a second that the instance beside takes; -1 without a limit.',
    labels: [],
  },
  intakeWaiting: {
    type: 'gauge',
    name: 'vanillaspool_intake_waiting',
    help: 'Requests that wait for a turn of the process.',
    labels: [],
  },
  loopDelay: {
    type: 'gauge',
    name: 'vanillaspool_loop_delay_seconds',
    help: 'Time by which the last periodic timer was late.',
    labels: [],
  },
} as const satisfies Readonly<
  Record<string, CounterDefinition | GaugeDefinition>
>;

/** What is counted while a daemon runs. */
export interface MetricsRecorder {
  readonly recordRequest: (request: RequestResult) => void;
  readonly recordStoreCall: (kind: CallKind, result: CallResult) => void;
}

const MS_PER_SECOND = 1000;

/** Outcomes of a request in the metrics. */
const OUTCOME_LABELS = {
  answered: 'answered',
  'not-run': 'not-run',
  unknown: 'unknown',
  broken: 'unknown',
  cancelled: 'cancelled',
} as const;

/**
 * Creates what counts the requests and store calls of a daemon.
 *
 * @example
 * const recorder = createRecorder(createMetrics());
 */
export function createMetricsRecorder(metrics: Metrics): MetricsRecorder {
  return {
    recordRequest: ({service, outcome, reason, timeMs}) => {
      const labels = {service, outcome: OUTCOME_LABELS[outcome]};
      metrics.counter(METRICS.requests, labels)();
      const sender = {service, sender: 'caller'};
      const seconds = timeMs / MS_PER_SECOND;
      metrics.histogram(METRICS.requestSeconds, sender)(seconds);
      if (!reason) return;
      metrics.counter(SIDECAR_METRICS.refusals, {service, reason})();
    },
    recordStoreCall: (kind, result) => {
      metrics.counter(SIDECAR_METRICS.storeCalls, {kind, result})();
    },
  };
}
