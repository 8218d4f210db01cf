import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Pool} from 'undici';
import {createAdmission, type Admission} from '../../src/admission/index.js';
import {createRandom} from './random.js';
import type {Outcome} from './simulate.js';
import {drawJobs, type Job, type Workload} from './workload.js';

/** Parameters of a real-time run. */
export interface Realtime {
  readonly workload: Workload;
  readonly slots: number;
  readonly queue: number;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Results of a real-time run. */
export interface RealtimeResult {
  readonly outcomes: readonly Outcome[];
  /** Requests that the upstream refused because its slots were exceeded. */
  readonly exceeded: number;
}

/** A running upstream process and the connection pool to it. */
interface Upstream {
  readonly pool: Pool;
  readonly close: () => Promise<void>;
}

/** Counter of the requests that the upstream refused. */
interface Counter {
  exceeded: number;
}

/**
 * Runs jobs through `createAdmission` on the real clock, with an upstream in a
 * separate process that is called over HTTP.
 *
 * @example
 * const {outcomes, exceeded} = await runRealtime(options);
 */
export async function runRealtime(options: Realtime): Promise<RealtimeResult> {
  const {workload, perSecond, durationMs, seed, slots, queue} = options;
  const jobs = drawJobs(workload, perSecond, durationMs, createRandom(seed));
  const upstream = await startUpstream(slots);
  const clock = () => performance.now();
  const admission = createAdmission({slots, queue, clock});
  const counter = {exceeded: 0};
  const startedAt = clock();
  const pending: Promise<Outcome>[] = [];
  for (const job of jobs) {
    const delayMs = startedAt + job.arriveAt - clock();
    if (delayMs > 1) await sleep(delayMs);
    pending.push(runJob(job, admission, upstream.pool, startedAt, counter));
  }
  const outcomes = await Promise.all(pending);
  await upstream.close();
  return {outcomes, exceeded: counter.exceeded};
}

async function runJob(
  job: Job,
  admission: Admission,
  pool: Pool,
  startedAt: number,
  counter: Counter,
): Promise<Outcome> {
  const {service, priority, caller, key, deadlineAt} = job.work;
  const arrivedAt = performance.now();
  const realDeadlineAt = arrivedAt + (deadlineAt - job.arriveAt);
  const request = {service, priority, caller, key, deadlineAt: realDeadlineAt};
  const result = await admission.admit(request);
  if (result.kind === 'refused') {
    const tookMs = performance.now() - arrivedAt;
    const status = tookMs < 1 ? 'refused-on-arrival' : 'refused-after-wait';
    return {job, status, tookMs};
  }
  const path = `/?ms=${job.serviceMs}`;
  const {statusCode, body} = await pool.request({method: 'GET', path});
  await body.dump();
  result.release(statusCode === 200 ? 'ran' : 'cut-short');
  if (statusCode !== 200) counter.exceeded++;
  const finishedAt = performance.now();
  const status = finishedAt <= realDeadlineAt ? 'in-time' : 'late';
  return {job, status, tookMs: finishedAt - arrivedAt};
}

async function startUpstream(slots: number): Promise<Upstream> {
  const file = fileURLToPath(new URL('./upstream.js', import.meta.url));
  const child = spawn(process.execPath, [file, String(slots)], {
    stdio: ['pipe', 'pipe', 'inherit'],
  });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const port = Number(line.toString());
  const pool = new Pool(`http://127.0.0.1:${port}`, {connections: slots});
  const close = async () => {
    await pool.close();
    const exited = once(child, 'exit');
    child.stdin.end();
    await exited;
  };
  return {pool, close};
}
