import type {MetricDefinition} from '../telemetry/index.js';

/** Metrics of admission control. */
export const ADMISSION_METRICS = {
  verdicts: {
    type: 'counter',
    name: 'vanillaspool_admission_verdicts_total',
    help: 'Admission decisions, by service and verdict (admitted, or the reason for the refusal).',
    labels: ['service', 'verdict'],
  },
  running: {
    type: 'gauge',
    name: 'vanillaspool_admission_running_requests',
    help: 'Requests in flight that hold a slot of the upstream.',
    labels: [],
  },
  waiting: {
    type: 'gauge',
    name: 'vanillaspool_admission_waiting_requests',
    help: 'Requests queued for a slot.',
    labels: [],
  },
  slots: {
    type: 'gauge',
    name: 'vanillaspool_admission_slots',
    help: 'Number of requests that the upstream executes concurrently.',
    labels: [],
  },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
