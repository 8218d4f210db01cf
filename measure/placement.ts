import {drawPlot} from './plot.js';
import {BASELINES} from './placement/baselines.js';
import {PLANNER} from './placement/planner.js';
import {replay, type Score} from './placement/score.js';
import {allTraces, type Trace, type User} from './placement/trace.js';
import {
  round,
  startRun,
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

const PARTS: readonly Measure[] = [
  {name: 'ownerless', unit: 'ms per key', of: score => score.ownerlessMs},
  {name: 'refused', unit: 'ms per key', of: score => score.refusedMs},
];

const MEASURES = [IMBALANCE, CHURN, UNAVAILABLE];

const MOST_IMPORTANT: Readonly<Record<User, Measure>> = {
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
  const started = startRun(`npm run measure -- placement ${seed}`, seed);
  const rows = allTraces(seed).flatMap(trace =>
    [PLANNER, ...BASELINES].map(named => {
      const score = replay(trace, named, seed);
      return {trace, policy: named.name, score};
    }),
  );
  writeResults('placement.jsonl', started, rows.flatMap(resultsOf));
  writeResultFile('placement.md', tableOf(rows));
  for (const name of ['breaking story', 'festival weekend']) {
    const file = `placement-${name.replace(' ', '-')}.svg`;
    writeResultFile(file, plotOf(rows, name));
  }
}

function resultsOf({trace, policy, score}: Row): readonly Result[] {
  return [...MEASURES, ...PARTS].map(({name, unit, of}) => ({
    name,
    value: round(of(score)),
    unit,
    of: {trace: trace.name, user: trace.user, policy},
  }));
}

function tableOf(rows: readonly Row[]): string {
  const head = [
    '| trace | user | policy | imbalance | churn | unavailable ms | ownerless ms | refused ms | target |',
    '|---|---|---|---|---|---|---|---|---|',
  ];
  const lines = rows.map(row => {
    const cells = [
      row.trace.name,
      row.trace.user,
      row.policy,
      ...[...MEASURES, ...PARTS].map(m => round(m.of(row.score), 3)),
      row.policy === PLANNER.name ? verdict(row, rows) : '',
    ];
    return `| ${cells.join(' | ')} |`;
  });
  return [...head, ...lines, ''].join('\n');
}

/** Says where the planner misses its target on a trace. */
function verdict(row: Row, rows: readonly Row[]): string {
  const rivals = rows.filter(
    r => r.trace === row.trace && r.policy !== row.policy,
  );
  const missed = MEASURES.filter(measure => {
    const best = Math.min(...rivals.map(r => measure.of(r.score)));
    const own = measure.of(row.score);
    const most = MOST_IMPORTANT[row.trace.user];
    return measure === most ? own >= best : own > best;
  });
  if (missed.length === 0) return 'met';
  return `missed: ${missed.map(m => m.name).join(', ')}`;
}

function plotOf(rows: readonly Row[], trace: string): string {
  const series = rows
    .filter(row => row.trace.name === trace)
    .map(row => ({name: row.policy, points: row.score.course}));
  return drawPlot({
    title: `Imbalance: ${trace}`,
    xLabel: 'minutes',
    yLabel: 'highest / mean utilisation',
    series,
  });
}
