import {readFileSync} from 'node:fs';

/** What a process has used since its start. */
export interface Usage {
  /** Processor time, in milliseconds. */
  readonly cpuMs: number;
  /** Times that it waited for input or a timer. */
  readonly waits: number;
  /** Times that another process took its core. */
  readonly preemptions: number;
  /** System calls that read, and those that wrote. */
  readonly reads: number;
  readonly writes: number;
}

const NS_PER_MS = 1_000_000;

/**
 * Reads what the main thread of a process has used, which runs all code of a
 * daemon under the deployed flags.
 *
 * @example
 * readUsage(child.pid).cpuMs;
 */
export function readUsage(pid: number): Usage {
  const directory = `/proc/${pid}/task/${pid}`;
  const read = (name: string) => readFileSync(`${directory}/${name}`, 'utf8');
  const [runNs] = read('schedstat').split(' ').map(Number);
  const status = read('status');
  const io = read('io');
  return {
    cpuMs: runNs / NS_PER_MS,
    waits: fieldOf(status, 'voluntary_ctxt_switches'),
    preemptions: fieldOf(status, 'nonvoluntary_ctxt_switches'),
    reads: fieldOf(io, 'syscr'),
    writes: fieldOf(io, 'syscw'),
  };
}

/**
 * Returns what was used between two readings, for each of a number of requests.
 *
 * @example
 * usagePerRequest(before, readUsage(pid), 1800).cpuMs;
 */
export function usagePerRequest(
  before: Usage,
  after: Usage,
  requests: number,
): Usage {
  return {
    cpuMs: (after.cpuMs - before.cpuMs) / requests,
    waits: (after.waits - before.waits) / requests,
    preemptions: (after.preemptions - before.preemptions) / requests,
    reads: (after.reads - before.reads) / requests,
    writes: (after.writes - before.writes) / requests,
  };
}

function fieldOf(text: string, name: string): number {
  const line = text.split('\n').find(other => other.startsWith(`${name}:`));
  return Number(line?.split(':')[1] ?? NaN);
}
