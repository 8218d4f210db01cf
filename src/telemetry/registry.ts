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

interface Cell {
  readonly labels: Readonly<Record<string, string>>;
  value: number;
}

type Cells = Map<string, Cell>;

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
  const cells = new Map<string, Cells>();
  const histograms = new Map<string, Histogram>();
  const cellOf = (
    definition: CounterDefinition | GaugeDefinition,
    labels: LabelValues<string>,
  ) => {
    checkLabels(definition, labels);
    let known = cells.get(definition.name);
    if (!known) {
      known = new Map();
      cells.set(definition.name, known);
      registerCells(registry, definition, known);
    }
    return cellIn(known, labels);
  };
  return {
    counter: (definition, labels) => {
      const cell = cellOf(definition, labels);
      return by => addTo(cell, by ?? 1);
    },
    gauge: (definition, labels) => {
      const cell = cellOf(definition, labels);
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

function addTo(cell: Cell, by: number): void {
  if (by < 0) throw new RangeError(`a counter cannot fall by ${-by}`);
  cell.value += by;
}

function cellIn(cells: Cells, labels: LabelValues<string>): Cell {
  const id = JSON.stringify(Object.entries(labels).sort());
  const known = cells.get(id);
  if (known) return known;
  const cell = {labels, value: 0};
  cells.set(id, cell);
  return cell;
}

function checkLabels(
  definition: MetricDefinition,
  labels: LabelValues<string>,
): void {
  const given = Object.keys(labels).sort().join();
  const wanted = [...definition.labels].sort().join();
  if (given !== wanted) {
    throw new RangeError(`${definition.name} has labels ${wanted}: ${given}`);
  }
}

function registerCells(
  registry: Registry,
  definition: CounterDefinition | GaugeDefinition,
  cells: Cells,
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
      collect: () => cells.forEach(cell => gauge.set(cell.labels, cell.value)),
    });
    return;
  }
  const counter: Counter = new Counter({
    ...settings,
    collect: () => {
      counter.reset();
      cells.forEach(cell => counter.inc(cell.labels, cell.value));
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
