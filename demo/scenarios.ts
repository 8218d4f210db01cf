import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {applyEdits, modify} from 'jsonc-parser';
import {runTool, setPlatformFaults, waitForExit} from './control.js';
import {readStatus, type Fleet, type Node} from './fleet.js';
import type {Processes} from './processes.js';
import type {ScheduledStep} from './schedule.js';

/** Time for which an instance is frozen. */
const FREEZE_MS = 2500;

/** Duration of the platform's outage. */
const OUTAGE_MS = 2500;

/** Timeout of a drain, and of the shutdown that follows. */
const DRAIN_TIMEOUT_MS = 6000;

/** Timeout for a configuration to be applied by all daemons. */
const APPLY_TIMEOUT_S = 7;

/** Environment in which a scenario runs. */
export interface ScenarioContext {
  readonly processes: Processes;
  readonly fleet: Fleet;
  readonly directory: string;
  /** Prints a line of progress. */
  readonly printProgress: (line: string) => void;
}

/** An operation or a fault that is applied to the fleet under traffic. */
export interface Scenario extends ScheduledStep {
  readonly run: (context: ScenarioContext) => Promise<void>;
}

/** Names of the scenarios whose commands need the platform. */
const CHANGE = 'change the configuration';
const DRAIN = 'drain an instance';

/** Scenarios of one run of the demo; times are from the start of the traffic. */
export const SCENARIOS: readonly Scenario[] = [
  {atMs: 1000, name: CHANGE, run: changeConfiguration},
  {atMs: 2500, name: DRAIN, run: drainInstance},
  {atMs: 4500, name: 'kill an instance', run: killInstance},
  {atMs: 6500, name: 'freeze an instance', run: freezeInstance},
  {
    atMs: 10000,
    name: 'interrupt the platform',
    after: [CHANGE, DRAIN],
    run: interruptPlatform,
  },
];

/** Duration of the traffic. */
export const TRAFFIC_S = 14;

/** Applies the configuration files of the example on all daemons. */
export async function applyExample(context: ScenarioContext): Promise<void> {
  const {baseFile, overlayFile} = context.fleet.example;
  await applyConfiguration(context, baseFile, overlayFile);
}

async function changeConfiguration(context: ScenarioContext): Promise<void> {
  const {baseFile, overlayFile} = context.fleet.example;
  const text = readFileSync(overlayFile, 'utf8');
  const path = ['limits', 'queue'];
  const edits = modify(text, path, 200, {});
  const changedFile = join(context.directory, 'changed.jsonc');
  writeFileSync(changedFile, applyEdits(text, edits));
  await applyConfiguration(context, baseFile, changedFile);
}

async function applyConfiguration(
  context: ScenarioContext,
  ...files: string[]
): Promise<void> {
  const timeout = ['--timeout', String(APPLY_TIMEOUT_S)];
  const startMs = performance.now();
  const args = ['apply', ...files, ...timeout];
  await runTool(context.processes, context.fleet.platform, args);
  const elapsedMs = Math.round(performance.now() - startMs);
  context.printProgress(`applied by all daemons after ${elapsedMs} ms`);
}

async function drainInstance(context: ScenarioContext): Promise<void> {
  const node = selectKeyedNode(context.fleet, 0);
  const {name} = node.instance;
  const startMs = performance.now();
  await runTool(context.processes, context.fleet.platform, ['drain', name]);
  while (performance.now() < startMs + DRAIN_TIMEOUT_MS) {
    const status = await readStatus(node);
    if (status?.slices === 0 && status.inFlight === 0) break;
    await sleep(50);
  }
  context.printProgress(`${name} drained after ${elapsedSince(startMs)} ms`);
  node.daemon.signal('SIGTERM');
  const code = await waitForExit(node.daemon, DRAIN_TIMEOUT_MS);
  node.upstream.signal('SIGTERM');
  if (code !== 0)
    throw new Error(
      `${name}: expected exit code 0, got ${code} after its drain`,
    );
  context.printProgress(`${name} exited with 0`);
}

async function killInstance(context: ScenarioContext): Promise<void> {
  const node = selectKeyedNode(context.fleet, 1);
  node.daemon.signal('SIGKILL');
  node.upstream.signal('SIGKILL');
  await node.daemon.exited;
  context.printProgress(`${node.instance.name} and its upstream killed`);
}

async function freezeInstance(context: ScenarioContext): Promise<void> {
  const node = selectKeyedNode(context.fleet, 2);
  const {name} = node.instance;
  node.daemon.signal('SIGSTOP');
  node.upstream.signal('SIGSTOP');
  context.printProgress(`${name} and its upstream frozen`);
  await sleep(FREEZE_MS);
  node.upstream.signal('SIGCONT');
  node.daemon.signal('SIGCONT');
  context.printProgress(`${name} and its upstream resumed`);
}

async function interruptPlatform(context: ScenarioContext): Promise<void> {
  const {platform} = context.fleet;
  await setPlatformFaults(platform, {down: true});
  context.printProgress('platform unreachable');
  await sleep(OUTAGE_MS);
  await setPlatformFaults(platform, {down: false, loseAnswers: 1});
  context.printProgress(
    'platform reachable again; it drops its first write response',
  );
}

/** Returns the node with the given index among those of services with keys. */
function selectKeyedNode({nodes, example}: Fleet, number: number): Node {
  const {services} = example.base;
  return nodes.filter(({instance}) => services[instance.service]?.key)[number];
}

function elapsedSince(startMs: number): number {
  return Math.round(performance.now() - startMs);
}
