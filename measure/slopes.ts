import {drawPlot} from './plot.js';
import {
  describeRun,
  writeResultFile,
  writeResults,
  type Result,
} from './results.js';
import {codecCosts, recordSizes} from './slopes/codec.js';
import {figure} from './slopes/figures.js';
import {memorySlopes} from './slopes/memory.js';
import {planTimes, SEED, sketchCosts} from './slopes/plans.js';
import {udpCosts} from './slopes/udp.js';

/**
 * Measures what a daemon's control work costs in pieces: the codec and
 * signature of a heartbeat, a UDP message, memory by member and slice, and
 * planning against the size of the fleet.
 *
 * @example
 * await run([]);
 */
export async function run(): Promise<void> {
  const header = describeRun('npm run measure -- slopes', SEED);
  const rss = figure('process-rss', process.memoryUsage().rss / 2 ** 20, 'MiB');
  const plan = planTimes();
  const results = [
    rss,
    ...codecCosts(),
    ...recordSizes(),
    ...(await udpCosts()),
    ...memorySlopes(),
    ...plan,
    ...sketchCosts(),
  ];
  writeResults('slopes.jsonl', header, results);
  writeResultFile('slopes-plan.svg', plotPlans(plan));
}

function plotPlans(results: readonly Result[]): string {
  const names = ['plan-chunk-idle', 'plan-chunk-loss', 'plan-moves'];
  const series = names.map(name => ({
    name,
    points: results
      .filter(r => r.name.startsWith(`${name}-at-`))
      .map(r => ({x: Number(r.of?.members), y: r.value})),
  }));
  return drawPlot({
    title: 'Time of a plan against the fleet',
    xLabel: 'members',
    yLabel: 'microseconds',
    series,
    logY: true,
  });
}
