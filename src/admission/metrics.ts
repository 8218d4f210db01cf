import type {MetricDefinition} from '../telemetry/index.js';

/** Metrics of the admission to the upstream. */
export const ADMISSION_METRICS = {
  verdicts: {
    type: 'counter',
    name: 'vanillaspool_admission_verdicts_total',
    help: 'Final answers of admission, by service and verdict (admitted, or the reason of the refusal).',
    labels: ['service', 'verdict'],
  },
  running: {
    type: 'gauge',
    name: 'vanillaspool_admission_running_requests',
    help: 'Requests that hold a slot of the upstream.',
    labels: [],
  },
  waiting: {
    type: 'gauge',
    name: 'vanillaspool_admission_waiting_requests',
    help: 'Requests that wait for a slot.',
    labels: [],
  },
  slots: {
    type: 'gauge',
    name: 'vanillaspool_admission_slots',
    help: 'Slots of the upstream.',
    labels: [],
  },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
