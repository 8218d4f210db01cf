import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {
  CounterDefinition,
  GaugeDefinition,
  HistogramDefinition,
  MetricDefinition,
} from './metrics.js';

/** One value for each label of a metric. */
export type LabelValues<Label extends string> = Readonly<Record<Label, string>>;

/** Adds to a counter; 1 by default. */
export type Increment = (by?: number) => void;

/** Sets a gauge. */
export type Setter = (value: number) => void;

/** Records one value of a distribution. */
export type Observer = (value: number) => void;

/**
 * The metrics of one process. The functions for one set of label values are
 * made once and kept, so that recording looks nothing up for a counter or a
 * gauge.
 */
export interface Metrics {
  readonly counter: <Label extends string>(
    definition: CounterDefinition<Label>,
    labels: LabelValues<Label>,
  ) => Increment;
  readonly gauge: <Label extends string>(
    definition: GaugeDefinition<Label>,
    labels: LabelValues<Label>,
  ) => Setter;
  readonly histogram: <Label extends string>(
    definition: HistogramDefinition<Label>,
    labels: LabelValues<Label>,
  ) => Observer;
  /** Formats all metrics in the Prometheus text format. */
  readonly text: () => Promise<string>;
  readonly contentType: string;
}

interface Series {
  readonly labels: Readonly<Record<string, string>>;
  value: number;
}

type SeriesByLabels = Map<string, Series>;

/**
 * Creates an empty registry. A metric is registered when it is first used.
 *
 * @example
 * const metrics = createMetrics();
 * const count = metrics.counter(METRICS.requests, {
 *   service: 'rota-display', outcome: 'answered'});
 * count();
 * await metrics.text(); // '...vanillaspool_requests_total{service="rota-display"...} 1\n'
 */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const seriesByMetric = new Map<string, SeriesByLabels>();
  const histograms = new Map<string, Histogram>();
  const seriesOf = (
    definition: CounterDefinition | GaugeDefinition,
    labels: LabelValues<string>,
  ) => {
    checkLabels(definition, labels);
    let known = seriesByMetric.get(definition.name);
    if (!known) {
      known = new Map();
      seriesByMetric.set(definition.name, known);
      registerSeries(registry, definition, known);
    }
    return findOrCreateSeries(known, labels);
  };
  return {
    counter: (definition, labels) => {
      const cell = seriesOf(definition, labels);
      return by => addTo(cell, by ?? 1);
    },
    gauge: (definition, labels) => {
      const cell = seriesOf(definition, labels);
      return value => {
        cell.value = value;
      };
    },
    histogram: (definition, labels) => {
      checkLabels(definition, labels);
      const known = histograms.get(definition.name);
      const histogram = known ?? registerHistogram(registry, definition);
      histograms.set(definition.name, histogram);
      return value => histogram.observe(labels, value);
    },
    text: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

function addTo(series: Series, by: number): void {
  if (by < 0) throw new RangeError(`a counter cannot fall by ${-by}`);
  series.value += by;
}

function findOrCreateSeries(
  seriesByLabels: SeriesByLabels,
  labels: LabelValues<string>,
): Series {
  const id = JSON.stringify(Object.entries(labels).sort());
  const existing = seriesByLabels.get(id);
  if (existing) return existing;
  const series = {labels, value: 0};
  seriesByLabels.set(id, series);
  return series;
}

function checkLabels(
  definition: MetricDefinition,
  labels: LabelValues<string>,
): void {
  const actual = Object.keys(labels).sort().join();
  const expected = [...definition.labels].sort().join();
  if (actual !== expected) {
    throw new RangeError(
      `${definition.name} has labels ${expected}: ${actual}`,
    );
  }
}

function registerSeries(
  registry: Registry,
  definition: CounterDefinition | GaugeDefinition,
  seriesByLabels: SeriesByLabels,
): void {
  const settings = {
    name: definition.name,
    help: definition.help,
    labelNames: [...definition.labels],
    registers: [registry],
  };
  if (definition.type === 'gauge') {
    const gauge: Gauge = new Gauge({
      ...settings,
      collect: () =>
        seriesByLabels.forEach(cell => gauge.set(cell.labels, cell.value)),
    });
    return;
  }
  const counter: Counter = new Counter({
    ...settings,
    collect: () => {
      counter.reset();
      seriesByLabels.forEach(cell => counter.inc(cell.labels, cell.value));
    },
  });
}

function registerHistogram(
  registry: Registry,
  definition: HistogramDefinition,
): Histogram {
  return new Histogram({
    name: definition.name,
    help: definition.help,
    labelNames: [...definition.labels],
    buckets: [...definition.buckets],
    registers: [registry],
  });
}
