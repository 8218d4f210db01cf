import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {setPlatformFaults} from '../../demo/control.js';
import {createProcesses} from '../../demo/processes.js';
import {
  createFleet,
  killNode,
  readCommits,
  readStatus,
  signalNode,
  startNode,
  startUpstream,
  waitUntil,
  waitUntilServing,
  waitUntilStable,
  type Fleet,
  type Node,
} from '../../measure/fleet.js';
import {KEYS, startCaller, type Caller} from './caller.js';
import {findContradictions} from './check.js';

/** Time limit of every wait, in milliseconds. */
const WAIT_LIMIT_MS = 30_000;

/** Time for which a process is frozen, in milliseconds. */
const FREEZE_MS = 2000;

const directory = mkdtempSync(join(tmpdir(), 'vanillaspool-process-'));
const processes = createProcesses(directory);
let fleet: Fleet;
let caller: Caller;
let hasFailed = false;
/** Instances that the caller sends to. */
let entries: readonly Node[] = [];

test.before(async () => {
  const shape = {domains: 4, instancesPerDomain: 1};
  fleet = await createFleet(processes, directory, shape);
  fleet.nodes.forEach(node => startNode(fleet, node));
  await waitUntilServing(fleet, WAIT_LIMIT_MS);
  entries = fleet.nodes;
  caller = startCaller(() => entries.map(({callers}) => callers));
});

test.after.always(async t => {
  await caller?.stop();
  await processes.killAll();
  if (hasFailed) t.log(`logs and journals: ${directory}`);
  else rmSync(directory, {recursive: true, force: true});
});

test.afterEach.always(t => {
  if (!t.passed) hasFailed = true;
});

/** Waits until a write of every key is answered through every entry. */
async function waitUntilEveryKeyIsServed(): Promise<void> {
  const unservedKeys = new Set(KEYS);
  let round = 0;
  await waitUntil('every key is served', WAIT_LIMIT_MS, async () => {
    const entry = entries[round++ % entries.length].callers;
    const writes = [...unservedKeys].map(key => caller.write(entry, key));
    for (const {key, ending} of await Promise.all(writes)) {
      if (ending.kind === 'answered') unservedKeys.delete(key);
    }
    return unservedKeys.size === 0;
  });
}

/** Waits for the whole fleet to serve and checks all that happened so far. */
async function verifyFleet(t: ExecutionContext): Promise<void> {
  await waitUntilServing(fleet, WAIT_LIMIT_MS);
  entries = fleet.nodes;
  await waitUntilEveryKeyIsServed();
  const commits = readCommits(fleet);
  const found = findContradictions(caller.writes(), commits);
  t.deepEqual(found, []);
}

/** Returns the others, which the caller sends to during a loss. */
function nodesExcept(lost: Node): readonly Node[] {
  return fleet.nodes.filter(node => node !== lost);
}

/** Returns the instance that serves the most slices. */
async function busiestOwner(): Promise<Node> {
  const statuses = await Promise.all(fleet.nodes.map(readStatus));
  const slices = statuses.map(status => status?.slices ?? 0);
  return fleet.nodes[slices.indexOf(Math.max(...slices))];
}

/** Waits until an upstream refuses the last term that it executed under. */
async function waitUntilFenced(node: Node): Promise<void> {
  const {slice, epoch} = readCommits(fleet).findLast(
    ({instance}) => instance === node.name,
  )!;
  const address = await node.upstream!.listening;
  const url = `http://${address.host}:${address.port}/ledger/direct`;
  await waitUntil(`${node.name} is fenced`, WAIT_LIMIT_MS, async () => {
    const headers = {
      'vanillaspool-slice': String(slice),
      'vanillaspool-epoch': String(epoch),
    };
    const answer = await fetch(url, {method: 'GET', headers});
    await answer.text();
    return answer.headers.get('vanillaspool-fenced') === 'true';
  });
}

test.serial('a killed instance is taken over and returns', async t => {
  const node = await busiestOwner();
  await killNode(node);
  entries = nodesExcept(node);
  await waitUntilEveryKeyIsServed();
  startNode(fleet, node);
  await verifyFleet(t);
});

test.serial('the grant of a frozen daemon lapses at its upstream', async t => {
  const node = await busiestOwner();
  node.daemon!.signal('SIGSTOP');
  const freezeEnd = sleep(FREEZE_MS);
  await waitUntilFenced(node);
  await waitUntilEveryKeyIsServedBy(nodesExcept(node));
  await freezeEnd;
  node.daemon!.signal('SIGCONT');
  await verifyFleet(t);
});

async function waitUntilEveryKeyIsServedBy(
  nodes: readonly Node[],
): Promise<void> {
  const before = entries;
  entries = nodes;
  await waitUntilEveryKeyIsServed();
  entries = before;
}

test.serial('a frozen upstream executes nothing when it returns', async t => {
  const node = await busiestOwner();
  node.upstream!.signal('SIGSTOP');
  await sleep(FREEZE_MS);
  node.upstream!.signal('SIGCONT');
  await verifyFleet(t);
});

test.serial('a frozen instance executes nothing when it returns', async t => {
  const node = await busiestOwner();
  signalNode(node, 'SIGSTOP');
  await sleep(FREEZE_MS);
  await waitUntilEveryKeyIsServedBy(nodesExcept(node));
  signalNode(node, 'SIGCONT');
  await verifyFleet(t);
});

test.serial('a loss is taken over while the platform is away', async t => {
  await waitUntilStable(fleet, WAIT_LIMIT_MS);
  const node = await busiestOwner();
  await setPlatformFaults(fleet.platform, {down: true});
  try {
    await killNode(node);
    entries = nodesExcept(node);
    await waitUntilEveryKeyIsServed();
    startNode(fleet, node);
  } finally {
    await setPlatformFaults(fleet.platform, {down: false, loseAnswers: 1});
  }
  await verifyFleet(t);
});

test.serial('a daemon that ends on request cuts nothing off', async t => {
  const node = await busiestOwner();
  const before = caller.writes().length;
  node.daemon!.signal('SIGTERM');
  t.is(await node.daemon!.exited, 0);
  entries = nodesExcept(node);
  await waitUntilEveryKeyIsServed();
  const interrupted = caller
    .writes()
    .slice(before)
    .filter(({ending}) => ending.kind === 'unknown');
  t.deepEqual(interrupted, []);
  await killNode(node);
  startNode(fleet, node);
  await verifyFleet(t);
});

test.serial(
  'an instance killed and restarted at once serves again',
  async t => {
    const node = await busiestOwner();
    await killNode(node);
    startNode(fleet, node);
    await verifyFleet(t);
  },
);

test.serial('an upstream killed and restarted alone serves again', async t => {
  const node = await busiestOwner();
  node.upstream!.signal('SIGKILL');
  await node.upstream!.exited;
  startUpstream(fleet, node);
  await verifyFleet(t);
});

test.serial('a fleet killed and restarted at once serves again', async t => {
  entries = [];
  await Promise.all(fleet.nodes.map(killNode));
  fleet.nodes.forEach(node => startNode(fleet, node));
  await verifyFleet(t);
});
