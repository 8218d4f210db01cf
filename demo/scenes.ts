import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {applyEdits, modify} from 'jsonc-parser';
import {runTool, setPlatformFaults, waitForExit} from './control.js';
import {readStatus, type Fleet, type Node} from './fleet.js';
import type {Processes} from './processes.js';

/** Time for which an instance is frozen, in milliseconds. */
const FREEZE_MS = 2500;

/** Time for which the platform is away, in milliseconds. */
const OUTAGE_MS = 2500;

/** Time limit of a drain and of the shutdown after it, in milliseconds. */
const DRAIN_TIMEOUT_MS = 6000;

/** Time limit for a configuration to be in force, in seconds. */
const FORCE_TIMEOUT_S = 7;

/** What a scene works with. */
export interface Stage {
  readonly processes: Processes;
  readonly fleet: Fleet;
  readonly directory: string;
  /** Prints a line of progress. */
  readonly say: (line: string) => void;
}

/** Something that happens to the fleet under traffic. */
export interface Scene {
  /** Time of its start, in milliseconds after that of the traffic. */
  readonly atMs: number;
  readonly name: string;
  readonly play: (stage: Stage) => Promise<void>;
}

/** What happens in one run of the demo. */
export const SCENES: readonly Scene[] = [
  {atMs: 1000, name: 'change the configuration', play: changeConfiguration},
  {atMs: 2500, name: 'drain an instance', play: drainInstance},
  {atMs: 4500, name: 'kill an instance', play: killInstance},
  {atMs: 6500, name: 'freeze an instance', play: freezeInstance},
  {atMs: 10000, name: 'take the platform away', play: takePlatformAway},
];

/** Time of the traffic, in seconds. */
export const TRAFFIC_S = 14;

/** Applies the files of the example and waits until they are in force. */
export async function applyExample(stage: Stage): Promise<void> {
  const {baseFile, overlayFile} = stage.fleet.example;
  await apply(stage, baseFile, overlayFile);
}

async function changeConfiguration(stage: Stage): Promise<void> {
  const {baseFile, overlayFile} = stage.fleet.example;
  const text = readFileSync(overlayFile, 'utf8');
  const path = ['limits', 'queue'];
  const edits = modify(text, path, 200, {});
  const changed = join(stage.directory, 'changed.jsonc');
  writeFileSync(changed, applyEdits(text, edits));
  await apply(stage, baseFile, changed);
}

async function apply(stage: Stage, ...files: string[]): Promise<void> {
  const timeout = ['--timeout', String(FORCE_TIMEOUT_S)];
  const startMs = performance.now();
  const args = ['apply', ...files, ...timeout];
  await runTool(stage.processes, stage.fleet.platform, args);
  const elapsedMs = Math.round(performance.now() - startMs);
  stage.say(`in force everywhere after ${elapsedMs} ms`);
}

async function drainInstance(stage: Stage): Promise<void> {
  const node = keyedNode(stage.fleet, 0);
  const {name} = node.instance;
  const startMs = performance.now();
  await runTool(stage.processes, stage.fleet.platform, ['drain', name]);
  while (performance.now() < startMs + DRAIN_TIMEOUT_MS) {
    const status = await readStatus(node);
    if (status?.slices === 0 && status.inFlight === 0) break;
    await sleep(50);
  }
  stage.say(`${name} is empty after ${since(startMs)} ms`);
  node.daemon.signal('SIGTERM');
  const code = await waitForExit(node.daemon, DRAIN_TIMEOUT_MS);
  node.upstream.signal('SIGTERM');
  if (code !== 0) throw new Error(`${name} ended with ${code} after its drain`);
  stage.say(`${name} ended with 0`);
}

async function killInstance(stage: Stage): Promise<void> {
  const node = keyedNode(stage.fleet, 1);
  node.daemon.signal('SIGKILL');
  node.upstream.signal('SIGKILL');
  await node.daemon.exited;
  stage.say(`${node.instance.name} is killed with its upstream`);
}

async function freezeInstance(stage: Stage): Promise<void> {
  const node = keyedNode(stage.fleet, 2);
  const {name} = node.instance;
  node.daemon.signal('SIGSTOP');
  node.upstream.signal('SIGSTOP');
  stage.say(`${name} is frozen with its upstream`);
  await sleep(FREEZE_MS);
  node.upstream.signal('SIGCONT');
  node.daemon.signal('SIGCONT');
  stage.say(`${name} returns`);
}

async function takePlatformAway(stage: Stage): Promise<void> {
  const {platform} = stage.fleet;
  await setPlatformFaults(platform, {down: true});
  stage.say('the platform is away');
  await sleep(OUTAGE_MS);
  await setPlatformFaults(platform, {down: false, loseAnswers: 1});
  stage.say('the platform is back, and loses its first answer');
}

/** Returns an instance of the service with the most keyed traffic. */
function keyedNode({nodes, example}: Fleet, number: number): Node {
  const {services} = example.base;
  return nodes.filter(({instance}) => services[instance.service]?.key)[number];
}

function since(startMs: number): number {
  return Math.round(performance.now() - startMs);
}
