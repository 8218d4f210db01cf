import {existsSync, readFileSync} from 'node:fs';
import {
  RESULTS_URL,
  round,
  startRun,
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
const BUDGET_KB_PER_S = 19;

/** The mechanisms as designed. */
const WITNESSES = 3;
const RENEWAL_S = 0.15;
const SUCCESSORS = 2;
const RELAYS_PER_DOMAIN = 2;
const PREFIXES = 3;

/** Writes of a chunk for one change: the new chain, and the trim after it. */
const WRITES_PER_CHANGE = 2;

/** Time between two plans of a service's moves. */
const MOVES_PERIOD_S = 5;

/** Time between two load reports of an owner within the band. */
const REPORT_PERIOD_S = 30;

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
  const started = startRun('npm run measure -- capacity');
  writeResults('capacity.jsonl', started, [
    ...heartbeat(figures),
    ...mirror(figures),
    ...steward(figures),
    ...platform(),
    ...growth(figures),
    ...movesFeed(figures),
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
function heartbeatsSent(): number {
  return (2 * WITNESSES) / RENEWAL_S;
}

function heartbeat(figures: Figures): readonly Result[] {
  const sent = heartbeatsSent();
  const each =
    figures('udp-message-slope') +
    figures('heartbeat-encode') +
    figures('heartbeat-decode') +
    2 * figures('heartbeat-hmac');
  const bytes = figures('heartbeat-bytes') + UDP_HEADER_BYTES;
  return [
    figure('heartbeats-sent', sent, 'messages/s'),
    figure('heartbeat-each', each, 'us'),
    figure('heartbeat-cpu', (sent * each) / 10_000, '% of a core'),
    figure('heartbeat-traffic', (2 * sent * bytes) / 1000, 'KB/s'),
  ];
}

/** Slices whose chain a lost or restarted instance is part of. */
function slicesTouched(): number {
  return ((1 + SUCCESSORS) * SLICES) / DAEMONS;
}

function mirror(figures: Figures): readonly Result[] {
  const members = (DAEMONS * figures('member-heap-slope')) / 1e6;
  const slices = (SLICES * figures('slice-heap-slope')) / 1e6;
  const changes = slicesTouched() * WRITES_PER_CHANGE;
  const whole = changes * figures('chunk-bytes');
  const deltas = changes * figures('slice-bytes');
  const configuration =
    (CHANGES_PER_DAY * figures('configuration-bytes')) / DAY_S / 1000;
  return [
    figure('mirror-members', members, 'MB'),
    figure('mirror-slices', slices, 'MB'),
    figure('mirror-memory', members + slices, 'MB'),
    figure('slices-touched', slicesTouched(), 'slices'),
    figure('restart-whole', whole / 1000, 'KB'),
    figure('restart-deltas', deltas / 1000, 'KB'),
    figure('restarts-whole', rate(whole), 'KB/s'),
    figure('restarts-deltas', rate(deltas), 'KB/s'),
    figure('configuration-traffic', configuration, 'KB/s'),
    figure('relay-deltas', rate(deltas) * followersEach(), 'KB/s'),
    figure('relay-configuration', configuration * followersEach(), 'KB/s'),
    figure('relay-whole', rate(whole) * followersEach(), 'KB/s'),
    figure('domain-whole', domainBytes(figures('chunk-bytes'), CHUNKS), 'MB'),
    figure(
      'domain-deltas',
      domainBytes(figures('slice-bytes'), touchedByDomain()),
      'MB',
    ),
    figure('domain-feed-time', domainFeedS(figures), 's'),
    figure('join-feed', joinBytes(figures), 'MB'),
  ];
}

function rate(bytesPerRestart: number): number {
  return (RESTARTS_PER_DAY * bytesPerRestart) / DAY_S / 1000;
}

/** Slices with at least one of their three instances in a lost domain. */
function touchedByDomain(): number {
  return Math.min(1, (1 + SUCCESSORS) / DOMAINS) * SLICES;
}

function domainBytes(bytes: number, records: number): number {
  return (WRITES_PER_CHANGE * bytes * records) / 1e6;
}

/** Time to send the changes of a lost domain within the budget. */
function domainFeedS(figures: Figures): number {
  const bytes = domainBytes(figures('slice-bytes'), touchedByDomain());
  return (bytes * 1000) / BUDGET_KB_PER_S;
}

function followersEach(): number {
  return DAEMONS / (RELAYS_PER_DOMAIN * DOMAINS) - 1;
}

/** What a daemon that starts reads from its relay. */
function joinBytes(figures: Figures): number {
  const members = DAEMONS * figures('member-bytes');
  const chunks = CHUNKS * figures('chunk-bytes');
  return (members + chunks + figures('configuration-bytes')) / 1e6;
}

function steward(figures: Figures): readonly Result[] {
  const plan =
    figures('plan-chunk-loss-intercept') +
    DAEMONS * figures('plan-chunk-loss-slope');
  const moves =
    figures('plan-moves-intercept') + DAEMONS * figures('plan-moves-slope');
  const report =
    REPORT_ENVELOPE_BYTES + (REPORT_SLICE_BYTES * SLICES) / DAEMONS;
  return [
    figure('chunks-each', CHUNKS / DAEMONS, 'chunks'),
    figure('plan-chunk', plan / 1000, 'ms'),
    figure('plan-moves', moves / 1000, 'ms'),
    figure('plan-moves-cpu', moves / 10_000 / MOVES_PERIOD_S, '% of a core'),
    figure('report-bytes', report, 'bytes'),
    figure(
      'report-traffic',
      (DAEMONS * report) / REPORT_PERIOD_S / 1000,
      'KB/s',
    ),
  ];
}

function platform(): readonly Result[] {
  const writes = slicesTouched() * WRITES_PER_CHANGE;
  const relays = RELAYS_PER_DOMAIN * DOMAINS;
  return [
    figure('requests-each', REQUESTS_PER_S / DAEMONS, 'requests/s'),
    figure('watches', relays * PREFIXES, 'calls'),
    figure('followers-each', followersEach(), 'streams'),
    figure('writes-restart', writes, 'writes'),
    figure('writes-restarts', (RESTARTS_PER_DAY * writes) / DAY_S, 'writes/s'),
    figure('writes-domain', WRITES_PER_CHANGE * CHUNKS, 'writes'),
    figure('writes-lease-on-platform', DAEMONS / RENEWAL_S, 'writes/s'),
  ];
}

/** What the moves of the large newsroom trace send to each daemon. */
function movesFeed(figures: Figures): readonly Result[] {
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
  const writes = WRITES_PER_CHANGE * movesPerS;
  const feed = (writes * figures('slice-bytes')) / 1000;
  return [
    figure('moves', movesPerS, 'moves/s'),
    figure('moves-writes', writes, 'writes/s'),
    figure('moves-feed', feed, 'KB/s'),
    figure('moves-relay', feed * followersEach(), 'KB/s'),
  ];
}

/** Mirror memory when daemons and slices grow together. */
function growth(figures: Figures): readonly Result[] {
  const one =
    (DAEMONS * figures('member-heap-slope') +
      SLICES * figures('slice-heap-slope')) /
    1e6;
  return [2, 5, 10].flatMap(times => [
    figure(`mirror-memory-${times}x`, one * times, 'MB'),
    figure(
      `plan-moves-${times}x`,
      (figures('plan-moves-intercept') +
        times * DAEMONS * figures('plan-moves-slope')) /
        1000,
      'ms',
    ),
  ]);
}

function figure(name: string, value: number, unit: string): Result {
  return {name, value: round(value, 3), unit};
}
