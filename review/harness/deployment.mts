import http from 'node:http';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {send} from './client.mjs';
import {
  createMachine,
  startDaemon,
  stopDaemons,
  untilReady,
  type Machine,
} from './daemon.mjs';
import {startEndpoint, type Endpoint} from './endpoint.mjs';
import {createOwnerCheck, type OwnerCheck} from './owner.mjs';
import {openRecord, type Recorder} from './record.mjs';
import {configurationOf, sleep} from './site.mjs';
import {startStore, type Store} from './store.mjs';

/** Name of the keyed service of a small deployment. */
export const SERVICE = 'huvo11a';

/** Its route. */
export const ROUTE = {host: 'jepu9.example', prefix: '/lepu270/'};

/** A small deployment: machines of one keyed service, and the store. */
export interface Deployment {
  readonly isTroubled: boolean;
  readonly record: Recorder;
  readonly store: Store;
  readonly machines: Machine[];
  readonly endpoints: Endpoint[];
  readonly check: OwnerCheck;
  readonly statuses: Map<number, number>;
  /** Starts a daemon with its endpoint on a new machine. */
  readonly addMachine: (zone: string) => Promise<Endpoint>;
  readonly startEndpointAt: (machine: Machine) => Promise<Endpoint>;
  /** Sends requests with random keys to each machine, until it is stopped. */
  readonly startTraffic: (perSecond: number) => () => void;
}

/** What varies between deployments. */
export interface DeploymentOptions {
  readonly zones: readonly string[];
  readonly grants: 'rpc' | 'heartbeat';
  readonly workMs: () => number;
  readonly deadlineMs: number;
}

/**
 * Starts a deployment, plays a case on it and ends the process with its result:
 * 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
export async function playCase(
  options: DeploymentOptions,
  play: (deployment: Deployment) => Promise<void>,
): Promise<void> {
  const record = openRecord(process.env.RECORD ?? 'record.txt');
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const machines: Machine[] = [];
  const endpoints: Endpoint[] = [];
  const {zones, grants, workMs, deadlineMs} = options;
  let code = 2;
  try {
    const store = await startStore();
    const services = [{name: SERVICE, sharded: true}];
    const timeoutS = (deadlineMs * 0.95) / 1000;
    const route = {name: 'r-view', ...ROUTE, service: SERVICE, timeoutS};
    const routes = [{...route, kind: 'idempotent'} as const];
    store.write('config', 'main', configurationOf(7, services, routes));
    const check = createOwnerCheck(record);
    const statuses = new Map<number, number>();
    let lives = 0;
    const startEndpointAt = async ({zone, app, control}: Machine) => {
      const id = `i-${(lives += 1)}`;
      const place = {id, service: SERVICE, zone, address: app, control};
      const kind = {slots: 18, keyed: true, grants, workMs, record};
      const endpoint = await startEndpoint({...place, ...kind});
      check.watch(endpoint);
      endpoints.push(endpoint);
      return endpoint;
    };
    const prepareMachine = async (zone: string) => {
      const name = `sidecar-${zone}-${machines.length + 1}`;
      const place = {name, zone, service: SERVICE, store: store.address};
      const machine = await createMachine({...place, grants, folder});
      machines.push(machine);
      startDaemon(machine);
      return machine;
    };
    const addMachine = async (zone: string) => {
      const machine = await prepareMachine(zone);
      await untilReady(machine);
      return startEndpointAt(machine);
    };
    const startTraffic = (perSecond: number) => {
      const agent = new http.Agent({keepAlive: true, maxSockets: 200});
      const timers = machines.map(({callers: to}) =>
        setInterval(() => {
          const key = Math.floor(Math.random() * 65_536);
          const request = {to, route: ROUTE, key, deadlineMs};
          void send(agent, record, request).then(({status}) =>
            statuses.set(status, (statuses.get(status) ?? 0) + 1),
          );
        }, 1000 / perSecond),
      );
      return () => {
        timers.forEach(clearInterval);
        setTimeout(() => agent.destroy(), deadlineMs + 300);
      };
    };
    for (const zone of zones) await prepareMachine(zone);
    await Promise.all(machines.map(machine => untilReady(machine)));
    for (const machine of machines) await startEndpointAt(machine);
    await sleep(6000);
    await play({
      isTroubled: process.env.TROUBLE !== '0',
      record,
      store,
      machines,
      endpoints,
      check,
      statuses,
      addMachine,
      startEndpointAt,
      startTraffic,
    });
    check.close();
    const counts = [...statuses].map(([status, n]) => `${status}: ${n}`);
    const summary = `clients got ${counts.join(', ')}; OWNER broken ${check.violations.length} times`;
    record.note(summary);
    console.log(summary);
    for (const text of check.violations) console.log(text);
    for (const endpoint of endpoints) if (endpoint.isUp) endpoint.crash();
    store.close();
    const hasServed = (statuses.get(200) ?? 0) >= 100;
    code = check.violations.length > 0 ? 1 : hasServed ? 0 : 2;
  } catch (error) {
    record.note(`could not run: ${(error as Error).stack}`);
    console.error(error);
  } finally {
    await stopDaemons(machines);
    record.close();
    if (process.env.KEEP) console.log(folder);
    else rmSync(folder, {recursive: true, force: true});
  }
  process.exit(code);
}
