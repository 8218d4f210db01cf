/** A value that only grows. */
export interface CounterDefinition<Label extends string = string> {
  readonly type: 'counter';
  /** Full name, with the unit and `_total` at its end. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
}

/** A value that rises and falls. */
export interface GaugeDefinition<Label extends string = string> {
  readonly type: 'gauge';
  /** Full name, with the unit at its end. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
}

/** A distribution over fixed buckets. */
export interface HistogramDefinition<Label extends string = string> {
  readonly type: 'histogram';
  /** Full name, with the unit at its end. */
  readonly name: string;
  readonly help: string;
  readonly labels: readonly Label[];
  /** Upper bounds of the buckets, ascending, in the unit of the name. */
  readonly buckets: readonly number[];
}

/** The definition of a metric. A definition is never changed, only replaced under a new name. */
export type MetricDefinition =
  CounterDefinition | GaugeDefinition | HistogramDefinition;

/** Buckets for durations of requests, in seconds. */
export const REQUEST_BUCKETS_SECONDS: readonly number[] = [
  0.001, 0.0025, 0.005, 0.01, 0.017, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/**
 * Metrics of the daemon as a whole. Metrics of one module stand in the
 * `metrics.ts` of the module, in a constant of the same form.
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
