import {drawPlot} from './plot.js';
import {BASELINES} from './placement/baselines.js';
import {PLANNER} from './placement/planner.js';
import {replay, type Score} from './placement/score.js';
import {allTraces, type Trace, type Customer} from './placement/trace.js';
import {
  round,
  describeRun,
  writeResultFile,
  writeResults,
  type Result,
} from './results.js';

/** A measure that a policy is judged by; lower is better. */
interface Measure {
  readonly name: string;
  readonly unit: string;
  readonly of: (score: Score) => number;
}

/** How one policy did on one trace. */
interface Row {
  readonly trace: Trace;
  readonly policy: string;
  readonly score: Score;
}

const DEFAULT_SEED = 1;

const UNAVAILABLE: Measure = {
  name: 'unavailable',
  unit: 'ms per key',
  of: score => score.ownerlessMs + score.refusedMs,
};

const IMBALANCE: Measure = {
  name: 'imbalance',
  unit: 'highest / mean',
  of: score => score.imbalance,
};

const CHURN: Measure = {
  name: 'churn',
  unit: 'changes per key',
  of: score => score.churn,
};

const UNAVAILABILITY_PARTS: readonly Measure[] = [
  {name: 'ownerless', unit: 'ms per key', of: score => score.ownerlessMs},
  {name: 'refused', unit: 'ms per key', of: score => score.refusedMs},
];

const MEASURES = [IMBALANCE, CHURN, UNAVAILABLE];

const PRIMARY_MEASURES: Readonly<Record<Customer, Measure>> = {
  newsroom: UNAVAILABLE,
  rental: IMBALANCE,
};

/**
 * Replays every trace against the planner and the baselines, and writes the
 * scores, a table and a plot of the imbalance over time.
 *
 * @param args The seed, if not the usual one.
 *
 * @example
 * await run(['7']);
 */
export async function run(args: readonly string[]): Promise<void> {
  const seed = Number(args[0] ?? DEFAULT_SEED);
  if (!Number.isInteger(seed)) throw new RangeError('seed is no integer');
  const header = describeRun(`npm run measure -- placement ${seed}`, seed);
  const rows = allTraces(seed).flatMap(trace =>
    [PLANNER, ...BASELINES].map(named => {
      const score = replay(trace, named, seed);
      return {trace, policy: named.name, score};
    }),
  );
  writeResults('placement.jsonl', header, rows.flatMap(resultsOf));
  writeResultFile('placement.md', formatTable(rows));
  for (const name of ['breaking story', 'festival weekend']) {
    const file = `placement-${name.replace(' ', '-')}.svg`;
    writeResultFile(file, drawImbalance(rows, name));
  }
}

function resultsOf({trace, policy, score}: Row): readonly Result[] {
  return [...MEASURES, ...UNAVAILABILITY_PARTS].map(({name, unit, of}) => ({
    name,
    value: round(of(score)),
    unit,
    of: {trace: trace.name, user: trace.customer, policy},
  }));
}

function formatTable(rows: readonly Row[]): string {
  const header = [
    '| trace | user | policy | imbalance | churn | unavailable ms | ownerless ms | refused ms | target |',
    '|---|---|---|---|---|---|---|---|---|',
  ];
  const lines = rows.map(row => {
    const cells = [
      row.trace.name,
      row.trace.customer,
      row.policy,
      ...[...MEASURES, ...UNAVAILABILITY_PARTS].map(m =>
        round(m.of(row.score), 3),
      ),
      row.policy === PLANNER.name ? formatTarget(row, rows) : '',
    ];
    return `| ${cells.join(' | ')} |`;
  });
  return [...header, ...lines, ''].join('\n');
}

/** Says where the planner misses its target on a trace. */
function formatTarget(row: Row, rows: readonly Row[]): string {
  const baselines = rows.filter(
    r => r.trace === row.trace && r.policy !== row.policy,
  );
  const missed = MEASURES.filter(measure => {
    const bestBaseline = Math.min(...baselines.map(r => measure.of(r.score)));
    const plannerValue = measure.of(row.score);
    const primary = PRIMARY_MEASURES[row.trace.customer];
    return measure === primary
      ? plannerValue >= bestBaseline
      : plannerValue > bestBaseline;
  });
  if (missed.length === 0) return 'met';
  return `missed: ${missed.map(m => m.name).join(', ')}`;
}

function drawImbalance(rows: readonly Row[], trace: string): string {
  const series = rows
    .filter(row => row.trace.name === trace)
    .map(row => ({name: row.policy, points: row.score.imbalanceOverTime}));
  return drawPlot({
    title: `Imbalance: ${trace}`,
    xLabel: 'minutes',
    yLabel: 'highest / mean utilisation',
    series,
  });
}
