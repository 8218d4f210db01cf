import {existsSync, readFileSync} from 'node:fs';
import {
  RESULTS_URL,
  round,
  describeRun,
  writeResults,
  type Result,
} from './results.js';

/** The size to design for. */
const DAEMONS = 1200;
const SLICES = 16_384;
const CHUNKS = 256;
const DOMAINS = 6;
const REQUESTS_PER_S = 6_600_000;
const CHANGES_PER_DAY = 4900;
const RESTARTS_PER_DAY = 190;
const DAY_S = 86_400;

/** Control traffic that a daemon may cause. */
const CONTROL_BUDGET_KB_PER_S = 19;

/** The mechanisms as designed. */
const WITNESSES_PER_LEASE = 3;
const RENEWAL_INTERVAL_S = 0.15;
const SUCCESSORS_PER_SLICE = 2;
const RELAYS_PER_DOMAIN = 2;
const WATCHED_PREFIXES = 3;

/** Writes of a chunk for one change: the new chain, and the trim after it. */
const WRITES_PER_CHANGE = 2;

/** Time between two plans of a service's moves. */
const MOVE_PLANNING_INTERVAL_S = 5;

/** Time between two load reports of an owner within the band. */
const REPORT_INTERVAL_S = 30;

/** A report: an envelope and the load of each slice of the owner. */
const REPORT_ENVELOPE_BYTES = 100;
const REPORT_SLICE_BYTES = 8;

/** Trace of hot keys at the size, and how long it is. */
const LARGE_TRACE = 'hot keys change, 1,200 instances';
const LARGE_TRACE_S = 720;

/** Headers of IP and UDP for each message. */
const UDP_HEADER_BYTES = 28;

/** Values of committed results, by name. */
type Figures = (name: string) => number;

/**
 * Works out each role's cost at the size to design for from the committed
 * slopes. Reads results and measures nothing.
 *
 * @example
 * await run();
 */
export async function run(): Promise<void> {
  const figures = readFigures('slopes.jsonl');
  const header = describeRun('npm run measure -- capacity');
  writeResults('capacity.jsonl', header, [
    ...heartbeatResults(figures),
    ...mirrorResults(figures),
    ...planningResults(figures),
    ...platformResults(),
    ...growthResults(figures),
    ...moveResults(figures),
  ]);
}

/**
 * Reads the plain figures of a committed results file.
 *
 * @throws {Error} when the file, or a figure that is asked for, is missing.
 *
 * @example
 * readFigures('slopes.jsonl')('heartbeat-encode');
 */
export function readFigures(file: string): Figures {
  const results = readResults(file);
  return name => {
    const found = results.find(result => result.name === name);
    if (!found) throw new Error(`${file} has no figure ${name}`);
    return found.value;
  };
}

function readResults(file: string): readonly Result[] {
  const url = new URL(file, RESULTS_URL);
  if (!existsSync(url)) throw new Error(`no committed results ${file}`);
  const lines = readFileSync(url, 'utf8').trim().split('\n');
  return lines.map(line => JSON.parse(line) as Result);
}

/** Messages that one daemon sends for leases, as holder and as witness. */
function leaseMessagesPerS(): number {
  return (2 * WITNESSES_PER_LEASE) / RENEWAL_INTERVAL_S;
}

function heartbeatResults(figures: Figures): readonly Result[] {
  const messagesPerS = leaseMessagesPerS();
  const messageCostUs =
    figures('udp-message-slope') +
    figures('heartbeat-encode') +
    figures('heartbeat-decode') +
    2 * figures('heartbeat-hmac');
  const datagramBytes = figures('heartbeat-bytes') + UDP_HEADER_BYTES;
  return [
    figure('heartbeats-sent', messagesPerS, 'messages/s'),
    figure('heartbeat-each', messageCostUs, 'us'),
    figure(
      'heartbeat-cpu',
      (messagesPerS * messageCostUs) / 10_000,
      '% of a core',
    ),
    figure(
      'heartbeat-traffic',
      (2 * messagesPerS * datagramBytes) / 1000,
      'KB/s',
    ),
  ];
}

/** Slices whose chain a lost or restarted instance is part of. */
function slicesAffectedByInstance(): number {
  return ((1 + SUCCESSORS_PER_SLICE) * SLICES) / DAEMONS;
}

function mirrorResults(figures: Figures): readonly Result[] {
  const membersMb = (DAEMONS * figures('member-heap-slope')) / 1e6;
  const slicesMb = (SLICES * figures('slice-heap-slope')) / 1e6;
  const writes = slicesAffectedByInstance() * WRITES_PER_CHANGE;
  const wholeChunksBytes = writes * figures('chunk-bytes');
  const deltasBytes = writes * figures('slice-bytes');
  const configurationKbPerS =
    (CHANGES_PER_DAY * figures('configuration-bytes')) / DAY_S / 1000;
  return [
    figure('mirror-members', membersMb, 'MB'),
    figure('mirror-slices', slicesMb, 'MB'),
    figure('mirror-memory', membersMb + slicesMb, 'MB'),
    figure('slices-touched', slicesAffectedByInstance(), 'slices'),
    figure('restart-whole', wholeChunksBytes / 1000, 'KB'),
    figure('restart-deltas', deltasBytes / 1000, 'KB'),
    figure('restarts-whole', restartTrafficKbPerS(wholeChunksBytes), 'KB/s'),
    figure('restarts-deltas', restartTrafficKbPerS(deltasBytes), 'KB/s'),
    figure('configuration-traffic', configurationKbPerS, 'KB/s'),
    figure(
      'relay-deltas',
      restartTrafficKbPerS(deltasBytes) * followersPerRelay(),
      'KB/s',
    ),
    figure(
      'relay-configuration',
      configurationKbPerS * followersPerRelay(),
      'KB/s',
    ),
    figure(
      'relay-whole',
      restartTrafficKbPerS(wholeChunksBytes) * followersPerRelay(),
      'KB/s',
    ),
    figure('domain-whole', domainLossMb(figures('chunk-bytes'), CHUNKS), 'MB'),
    figure(
      'domain-deltas',
      domainLossMb(figures('slice-bytes'), slicesAffectedByDomain()),
      'MB',
    ),
    figure('domain-feed-time', domainLossTransferS(figures), 's'),
    figure('join-feed', startupReadMb(figures), 'MB'),
  ];
}

function restartTrafficKbPerS(bytesPerRestart: number): number {
  return (RESTARTS_PER_DAY * bytesPerRestart) / DAY_S / 1000;
}

/** Slices with at least one of their three instances in a lost domain. */
function slicesAffectedByDomain(): number {
  return Math.min(1, (1 + SUCCESSORS_PER_SLICE) / DOMAINS) * SLICES;
}

function domainLossMb(bytes: number, records: number): number {
  return (WRITES_PER_CHANGE * bytes * records) / 1e6;
}

/** Time to send the changes of a lost domain within the budget. */
function domainLossTransferS(figures: Figures): number {
  const bytes = domainLossMb(figures('slice-bytes'), slicesAffectedByDomain());
  return (bytes * 1000) / CONTROL_BUDGET_KB_PER_S;
}

function followersPerRelay(): number {
  return DAEMONS / (RELAYS_PER_DOMAIN * DOMAINS) - 1;
}

/** What a daemon that starts reads from its relay. */
function startupReadMb(figures: Figures): number {
  const members = DAEMONS * figures('member-bytes');
  const chunks = CHUNKS * figures('chunk-bytes');
  return (members + chunks + figures('configuration-bytes')) / 1e6;
}

function planningResults(figures: Figures): readonly Result[] {
  const chunkPlanUs =
    figures('plan-chunk-loss-intercept') +
    DAEMONS * figures('plan-chunk-loss-slope');
  const movePlanUs =
    figures('plan-moves-intercept') + DAEMONS * figures('plan-moves-slope');
  const reportBytes =
    REPORT_ENVELOPE_BYTES + (REPORT_SLICE_BYTES * SLICES) / DAEMONS;
  return [
    figure('chunks-each', CHUNKS / DAEMONS, 'chunks'),
    figure('plan-chunk', chunkPlanUs / 1000, 'ms'),
    figure('plan-moves', movePlanUs / 1000, 'ms'),
    figure(
      'plan-moves-cpu',
      movePlanUs / 10_000 / MOVE_PLANNING_INTERVAL_S,
      '% of a core',
    ),
    figure('report-bytes', reportBytes, 'bytes'),
    figure(
      'report-traffic',
      (DAEMONS * reportBytes) / REPORT_INTERVAL_S / 1000,
      'KB/s',
    ),
  ];
}

function platformResults(): readonly Result[] {
  const writesPerRestart = slicesAffectedByInstance() * WRITES_PER_CHANGE;
  const relays = RELAYS_PER_DOMAIN * DOMAINS;
  return [
    figure('requests-each', REQUESTS_PER_S / DAEMONS, 'requests/s'),
    figure('watches', relays * WATCHED_PREFIXES, 'calls'),
    figure('followers-each', followersPerRelay(), 'streams'),
    figure('writes-restart', writesPerRestart, 'writes'),
    figure(
      'writes-restarts',
      (RESTARTS_PER_DAY * writesPerRestart) / DAY_S,
      'writes/s',
    ),
    figure('writes-domain', WRITES_PER_CHANGE * CHUNKS, 'writes'),
    figure(
      'writes-lease-on-platform',
      DAEMONS / RENEWAL_INTERVAL_S,
      'writes/s',
    ),
  ];
}

/** What the moves of the large newsroom trace send to each daemon. */
function moveResults(figures: Figures): readonly Result[] {
  const rows = readResults('placement.jsonl');
  const churn = rows.find(
    ({name, of}) =>
      name === 'churn' &&
      of?.trace === LARGE_TRACE &&
      of.user === 'newsroom' &&
      of.policy === 'vanillaspool',
  );
  if (!churn) throw new Error(`placement.jsonl lacks ${LARGE_TRACE}`);
  const movesPerS = (churn.value * SLICES) / LARGE_TRACE_S;
  const writesPerS = WRITES_PER_CHANGE * movesPerS;
  const trafficKbPerS = (writesPerS * figures('slice-bytes')) / 1000;
  return [
    figure('moves', movesPerS, 'moves/s'),
    figure('moves-writes', writesPerS, 'writes/s'),
    figure('moves-feed', trafficKbPerS, 'KB/s'),
    figure('moves-relay', trafficKbPerS * followersPerRelay(), 'KB/s'),
  ];
}

/** Mirror memory when daemons and slices grow together. */
function growthResults(figures: Figures): readonly Result[] {
  const memoryMb =
    (DAEMONS * figures('member-heap-slope') +
      SLICES * figures('slice-heap-slope')) /
    1e6;
  return [2, 5, 10].flatMap(factor => [
    figure(`mirror-memory-${factor}x`, memoryMb * factor, 'MB'),
    figure(
      `plan-moves-${factor}x`,
      (figures('plan-moves-intercept') +
        factor * DAEMONS * figures('plan-moves-slope')) /
        1000,
      'ms',
    ),
  ]);
}

function figure(name: string, value: number, unit: string): Result {
  return {name, value: round(value, 3), unit};
}
