import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Pool} from 'undici';
import {createAdmission, type Admission} from '../../src/admission/index.js';
import {createRandom} from './random.js';
import type {Outcome} from './simulate.js';
import {drawJobs, type Job, type Workload} from './workload.js';

/** What the real-time run needs to know. */
export interface Realtime {
  readonly workload: Workload;
  readonly slots: number;
  readonly queue: number;
  readonly perSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** The endings of a real-time run. */
export interface RealtimeResult {
  readonly endings: readonly Outcome[];
  /** Answers of the upstream that say that its slots were exceeded. */
  readonly exceeded: number;
}

/** An upstream process and the connections to it. */
interface Upstream {
  readonly pool: Pool;
  readonly close: () => Promise<void>;
}

/** Counts what the upstream refused. */
interface Counter {
  exceeded: number;
}

/**
 * Runs jobs through `createAdmission` on the real clock, against an upstream
 * in a process of its own over HTTP.
 *
 * @example
 * const {endings, exceeded} = await runRealtime(options);
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
  const endings = await Promise.all(pending);
  await upstream.close();
  return {endings, exceeded: counter.exceeded};
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
    const fate = tookMs < 1 ? 'refused-at-once' : 'given-up';
    return {job, status: fate, tookMs};
  }
  const path = `/?ms=${job.serviceMs}`;
  const {statusCode, body} = await pool.request({method: 'GET', path});
  await body.dump();
  result.release(statusCode === 200 ? 'ran' : 'cut-short');
  if (statusCode !== 200) counter.exceeded++;
  const finishedAt = performance.now();
  const fate = finishedAt <= realDeadlineAt ? 'in-time' : 'late';
  return {job, status: fate, tookMs: finishedAt - arrivedAt};
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
