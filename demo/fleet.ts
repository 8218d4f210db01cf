import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {formatAddress, type Address, type Status} from '../src/model/index.js';
import {LOOPBACK} from '../standin/listen.js';
import {readJournal, type Execution} from '../standin/upstream/journal.js';
import type {Example, Instance} from './deployment.js';
import {findPorts} from './ports.js';
import type {Process, Processes} from './processes.js';

/** Interval of polling the status of the daemons. */
const POLL_INTERVAL_MS = 400;

/** Timeout of a call to a daemon's control address. */
const STATUS_TIMEOUT_MS = 1000;

/** Timeout of a daemon's graceful shutdown. */
const SHUTDOWN_TIMEOUT_MS = 3000;

/** Mean service time of the upstreams. */
const MEAN_SERVICE_MS = 3;

/** A daemon and its local upstream. */
export interface Node {
  readonly instance: Instance;
  readonly callers: Address;
  readonly peers: Address;
  readonly control: Address;
  readonly daemon: Process;
  readonly upstream: Process;
}

/** Executions recorded by one upstream. */
export interface ExecutionLog {
  readonly instance: string;
  readonly service: string;
  readonly executions: readonly Execution[];
}

/** The running processes of a deployment. */
export interface Fleet {
  readonly example: Example;
  readonly platform: Address;
  readonly nodes: readonly Node[];
}

/** Addresses of one daemon. */
type Endpoints = Pick<Node, 'callers' | 'peers' | 'control'>;

/** Starts the platform, and a daemon and an upstream for each instance. */
export async function startFleet(
  processes: Processes,
  directory: string,
  example: Example,
): Promise<Fleet> {
  const {instances} = example.deployment;
  const platformProcess = processes.start(
    'platform',
    'standin/platform/main.js',
    [],
  );
  const platform = await platformProcess.listening;
  const endpoints = await findEndpoints(instances.length);
  const nodes = instances.map((instance, index) => {
    const own = endpoints[index];
    const file = join(directory, `${instance.name}.jsonc`);
    const seeds = selectSeeds(index, endpoints).map(formatAddress);
    const settings = createSettings(example, instance, own);
    const rest = {platform: formatAddress(platform), seeds};
    writeFileSync(file, JSON.stringify({...settings, ...rest}));
    const start = {instance, file, control: own.control};
    return {
      instance,
      ...own,
      ...startNode(processes, directory, example, start),
    };
  });
  return {example, platform, nodes};
}

async function findEndpoints(count: number): Promise<readonly Endpoints[]> {
  const ports = await findPorts(count * 3);
  const address = (index: number) => ({host: LOOPBACK, port: ports[index]});
  return Array.from({length: count}, (_, index) => ({
    callers: address(3 * index),
    peers: address(3 * index + 1),
    control: address(3 * index + 2),
  }));
}

/**
 * Returns the peer addresses of the two adjacent nodes and the opposite one.
 */
function selectSeeds(
  index: number,
  endpoints: readonly Endpoints[],
): readonly Address[] {
  const {length} = endpoints;
  const steps = [1, Math.floor(length / 2), length - 1];
  return steps.map(step => endpoints[(index + step) % length].peers);
}

function createSettings(
  {deployment}: Example,
  instance: Instance,
  {callers, peers, control}: Endpoints,
): object {
  return {
    instance: instance.name,
    site: deployment.site,
    region: deployment.region,
    domain: instance.domain,
    callers: formatAddress(callers),
    peers: formatAddress(peers),
    control: formatAddress(control),
    secrets: [{id: 'demo', key: 'a-key-for-the-demo-alone'}],
    shutdownMs: SHUTDOWN_TIMEOUT_MS,
  };
}

interface NodeStart {
  readonly instance: Instance;
  readonly file: string;
  readonly control: Address;
}

function startNode(
  processes: Processes,
  directory: string,
  {deployment, base}: Example,
  {instance, file, control}: NodeStart,
): Pick<Node, 'daemon' | 'upstream'> {
  const {name, service} = instance;
  const daemonArgs = ['run', '--settings', file];
  const daemon = 'src/bin/vanillaspoold.js';
  const fencing = base.services[service]?.fencing ?? 'ignored';
  const upstreamArgs = [
    ['--announce', formatAddress(control)],
    ['--service', service],
    ['--slots', String(deployment.slots)],
    ['--connections', String(deployment.connections)],
    ['--fencing', fencing],
    ['--service-ms', String(MEAN_SERVICE_MS)],
    ['--journal', journalPath(directory, name)],
  ].flat();
  return {
    daemon: processes.start(name, daemon, daemonArgs),
    upstream: processes.start(
      `${name}-upstream`,
      'standin/upstream/main.js',
      upstreamArgs,
    ),
  };
}

function journalPath(directory: string, instance: string): string {
  return join(directory, `${instance}.journal`);
}

/** Reads the journal of every upstream, including those that have exited. */
export function readExecutionLogs(
  {nodes}: Fleet,
  directory: string,
): readonly ExecutionLog[] {
  return nodes.map(({instance}) => {
    const text = readFileSync(journalPath(directory, instance.name), 'utf8');
    const executions = readJournal(text);
    return {instance: instance.name, service: instance.service, executions};
  });
}

/**
 * Fetches a daemon's status; resolves with undefined if it does not respond.
 */
export async function readStatus(node: Node): Promise<Status | undefined> {
  try {
    const url = `http://${formatAddress(node.control)}/status`;
    const signal = AbortSignal.timeout(STATUS_TIMEOUT_MS);
    return (await (await fetch(url, {signal})).json()) as Status;
  } catch {
    return undefined;
  }
}

/**
 * Waits until every daemon has responded to a status request.
 *
 * @throws {Error} after the timeout, with the names of the others.
 */
export async function waitForDaemons(
  {nodes}: Fleet,
  timeoutMs: number,
): Promise<void> {
  const endMs = performance.now() + timeoutMs;
  let silent = nodes;
  for (;;) {
    const answers = await Promise.all(silent.map(readStatus));
    silent = silent.filter((_, index) => !answers[index]);
    if (silent.length === 0) return;
    if (performance.now() > endMs) {
      const names = silent.map(node => node.instance.name).join(' ');
      throw new Error(`timed out waiting for the status of ${names}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

/**
 * Waits until every slice of the services with keys is served.
 *
 * @throws {Error} after the timeout, with the status of the daemons.
 */
export async function waitForSlices(
  {nodes, example}: Fleet,
  timeoutMs: number,
): Promise<void> {
  const {services} = example.base;
  const keyed = nodes.filter(({instance}) => services[instance.service]?.key);
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const answers = await Promise.all(keyed.map(readStatus));
    const statuses = answers.filter(answer => answer !== undefined);
    if (areSlicesServed(example, statuses)) return;
    if (performance.now() > endMs) {
      throw new Error(
        `timed out waiting for all slices: ${statuses.map(describe).join('; ')}`,
      );
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function describe(status: Status): string {
  const {instance, state, slices, configurationVersion} = status;
  return `${instance} ${state} v${configurationVersion} ${slices} slices`;
}

function areSlicesServed(
  {base, deployment}: Example,
  statuses: readonly Status[],
): boolean {
  const names = new Set(deployment.instances.map(({service}) => service));
  return [...names].every(name => {
    const service = base.services[name];
    if (!service?.key) return true;
    const own = statuses.filter(status => status.service === name);
    const served = own.reduce((sum, status) => sum + status.slices, 0);
    return served === service.slices;
  });
}
