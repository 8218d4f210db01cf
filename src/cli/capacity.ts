import {formatTable} from './table.js';
import {EXIT, UsageError, type Result} from './result.js';

/** Numbers of the log events that the account is made of. */
const SLOTS_EVENT = 5012;
const ROUTES_EVENT = 5013;

const MS_PER_SECOND = 1000;

/** Fields of slot time, in the order of their columns. */
const TIMES = ['inTime', 'late', 'failed', 'abandoned', 'idle'] as const;

/** Use of the slots of a service in one second, in milliseconds. */
type SlotTimes = Readonly<Record<(typeof TIMES)[number], number>>;

/** Account of the instances of a service in one second. */
interface SecondUsage extends SlotTimes {
  readonly second: number;
  readonly service: string;
  readonly instances: number;
  readonly offered: number;
  readonly waited: number;
  readonly started: number;
  readonly refused: ReadonlyMap<string, number>;
}

/** Requests of a route in one second, from callers' daemons. */
interface SecondResults {
  readonly second: number;
  readonly route: string;
  readonly inTime: number;
  readonly late: number;
  readonly failed: ReadonlyMap<string, number>;
}

type LogRecord = Readonly<Record<string, unknown>>;

/**
 * Accounts for the capacity of each service from the logs of its daemons: for
 * each second what the time of its slots was used for, and what became of the
 * requests of callers. Seconds in which a daemon had nothing to report are not
 * in its log, so a line covers the daemons that reported.
 *
 * @throws {UsageError} when the log has no line of the account.
 *
 * @example
 * capacity(readText('fleet.log')).lines;
 */
export function capacity(text: string): Result {
  const records = readRecords(text);
  if (records.length === 0) {
    throw new UsageError('the log has no line on the use of slots');
  }
  const origin = Math.min(...records.map(timeOf));
  const secondOf = (record: LogRecord) =>
    Math.floor((timeOf(record) - origin) / MS_PER_SECOND);
  const usages = groupBy(
    records.filter(({event}) => event === SLOTS_EVENT),
    record => `${secondOf(record)} ${String(record.service)}`,
    record => usageOf(record, secondOf(record)),
    addUsage,
  );
  const results = groupBy(
    records.filter(({event}) => event === ROUTES_EVENT),
    record => `${secondOf(record)} ${String(record.route)}`,
    record => resultsOf(record, secondOf(record)),
    addResults,
  );
  const lines = [
    `Second 0 is ${new Date(origin).toISOString()}.`,
    'Time of the slots, in percent of what they offered:',
    ...formatTable([
      [
        'SECOND',
        'SERVICE',
        'INSTANCES',
        'OFFERED MS',
        'IN TIME',
        'LATE',
      ].concat([
        'FAILED',
        'ABANDONED',
        'IDLE',
        'STARTED',
        'WAIT MS',
        'REFUSED',
      ]),
      ...usages.map(usageRow),
    ]),
    'Requests of callers:',
    ...formatTable([
      ['SECOND', 'ROUTE', 'IN TIME', 'LATE', 'NOT ANSWERED'],
      ...results.map(({second, route, inTime, late, failed}) => [
        ...[second, route, inTime, late].map(String),
        formatCounts(failed),
      ]),
    ]),
  ];
  const plain = (counts: ReadonlyMap<string, number>) =>
    Object.fromEntries(counts);
  const report = {
    slots: usages.map(usage => ({...usage, refused: plain(usage.refused)})),
    requests: results.map(result => ({
      ...result,
      failed: plain(result.failed),
    })),
  };
  return {code: EXIT.ok, lines, report};
}

function readRecords(text: string): readonly LogRecord[] {
  const records: LogRecord[] = [];
  for (const line of text.split('\n')) {
    const start = line.indexOf('{');
    if (start < 0 || !/"event":501[23]\b/.test(line)) continue;
    try {
      records.push(JSON.parse(line.slice(start)) as LogRecord);
    } catch {
      continue; // A line that was cut off, as the last one of a killed process.
    }
  }
  return records;
}

const timeOf = (record: LogRecord) => Date.parse(String(record.time));

function groupBy<T extends {readonly second: number}>(
  records: readonly LogRecord[],
  keyOf: (record: LogRecord) => string,
  read: (record: LogRecord) => T,
  add: (sum: T, next: T) => T,
): readonly T[] {
  const groups = new Map<string, T>();
  for (const record of records) {
    const key = keyOf(record);
    const known = groups.get(key);
    groups.set(key, known ? add(known, read(record)) : read(record));
  }
  return [...groups.values()].sort((a, b) => a.second - b.second);
}

function usageOf(record: LogRecord, second: number): SecondUsage {
  const ms = (name: string) => Number(record[name] ?? 0);
  return {
    second,
    service: String(record.service),
    instances: 1,
    offered: ms('offeredMs'),
    inTime: ms('inTimeMs'),
    late: ms('lateMs'),
    failed: ms('failedMs'),
    abandoned: ms('abandonedMs'),
    idle: ms('idleMs'),
    waited: ms('waitedMs'),
    started: ms('started'),
    refused: parseCounts(record.refused),
  };
}

function addUsage(a: SecondUsage, b: SecondUsage): SecondUsage {
  return {
    ...a,
    instances: a.instances + b.instances,
    offered: a.offered + b.offered,
    inTime: a.inTime + b.inTime,
    late: a.late + b.late,
    failed: a.failed + b.failed,
    abandoned: a.abandoned + b.abandoned,
    idle: a.idle + b.idle,
    waited: a.waited + b.waited,
    started: a.started + b.started,
    refused: addCounts(a.refused, b.refused),
  };
}

function resultsOf(record: LogRecord, second: number): SecondResults {
  return {
    second,
    route: String(record.route),
    inTime: Number(record.inTime),
    late: Number(record.late),
    failed: parseCounts(record.failed),
  };
}

function addResults(a: SecondResults, b: SecondResults): SecondResults {
  return {
    ...a,
    inTime: a.inTime + b.inTime,
    late: a.late + b.late,
    failed: addCounts(a.failed, b.failed),
  };
}

function usageRow(usage: SecondUsage): readonly string[] {
  const {second, service, instances, offered, started, waited} = usage;
  const percent = (ms: number) =>
    offered === 0 ? '-' : String(Math.round((ms / offered) * 100));
  return [
    ...[second, service, instances, offered].map(String),
    ...TIMES.map(name => percent(usage[name])),
    String(started),
    started === 0 ? '-' : String(Math.round(waited / started)),
    formatCounts(usage.refused),
  ];
}

function parseCounts(text: unknown): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const part of String(text ?? '').split(' ')) {
    const [reason, count] = part.split('=');
    if (reason) counts.set(reason, Number(count));
  }
  return counts;
}

function addCounts(
  a: ReadonlyMap<string, number>,
  b: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
  const sum = new Map(a);
  for (const [reason, count] of b) {
    sum.set(reason, (sum.get(reason) ?? 0) + count);
  }
  return sum;
}

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ');
}
