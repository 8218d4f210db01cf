/** A value that never decreases. */
export interface CounterDefinition<Label extends string = string> {
  readonly type: 'counter';
  /** Full name, ending with the unit and `_total`. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
}

/** A value that can increase and decrease. */
export interface GaugeDefinition<Label extends string = string> {
  readonly type: 'gauge';
  /** Full name, ending with the unit. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
}

/** A distribution over fixed buckets. */
export interface HistogramDefinition<Label extends string = string> {
  readonly type: 'histogram';
  /** Full name, ending with the unit. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
  /** Upper bounds of the buckets, ascending, in the unit of the name. */
  readonly buckets: readonly number[];
}

/**
 * The definition of a metric. A definition is never changed, only replaced
 * under a new name.
 */
export type MetricDefinition =
  CounterDefinition | GaugeDefinition | HistogramDefinition;

/** Histogram buckets for request durations. */
export const REQUEST_BUCKETS_SECONDS: readonly number[] = [
  0.001, 0.0025, 0.005, 0.01, 0.017, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/**
 * Metrics of the whole daemon. The metrics of a module are defined in the
 * module's `metrics.ts`, in a constant of the same form.
 */
export const METRICS = {
  requests: {
    type: 'counter',
    name: 'vanillaspool_requests_total',
    help: 'Requests answered, by service and outcome (answered, not-run, unknown).',
    labels: ['service', 'outcome'],
  },
  requestSeconds: {
    type: 'histogram',
    name: 'vanillaspool_request_duration_seconds',
    help: 'Time from the head of a request to the end of its answer, by service and sender (caller, peer).',
    labels: ['service', 'sender'],
    buckets: REQUEST_BUCKETS_SECONDS,
  },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
