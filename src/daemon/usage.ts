import type {DatagramCounts} from '../peer/index.js';
import type {Metrics} from '../telemetry/index.js';
import {DAEMON_METRICS} from './metrics.js';

/** Microseconds in a second. */
const MICROSECONDS_PER_SECOND = 1e6;

/**
 * Creates the function that brings the metrics of the process up to date; it is
 * called before the metrics are read.
 *
 * @param counts The datagrams of the process so far.
 *
 * @example
 * const updateUsage = createUsage(metrics, datagrams.counts);
 */
export function createUsage(
  metrics: Metrics,
  counts: Readonly<DatagramCounts>,
): () => void {
  const heap = metrics.gauge(DAEMON_METRICS.heap, {});
  const resident = metrics.gauge(DAEMON_METRICS.resident, {});
  const cpu = setterOf(metrics.counter(DAEMON_METRICS.cpu, {}));
  const {datagrams, datagramBytes} = DAEMON_METRICS;
  const sent = {direction: 'sent'};
  const received = {direction: 'received'};
  const sentCount = setterOf(metrics.counter(datagrams, sent));
  const receivedCount = setterOf(metrics.counter(datagrams, received));
  const sentBytes = setterOf(metrics.counter(datagramBytes, sent));
  const receivedBytes = setterOf(metrics.counter(datagramBytes, received));
  return () => {
    const {user, system} = process.cpuUsage();
    const memory = process.memoryUsage();
    cpu((user + system) / MICROSECONDS_PER_SECOND);
    heap(memory.heapUsed);
    resident(memory.rss);
    sentCount(counts.sent);
    receivedCount(counts.received);
    sentBytes(counts.sentBytes);
    receivedBytes(counts.receivedBytes);
  };
}

/** Sets a counter to a total by adding what it has grown. */
function setterOf(increment: (by: number) => void): (total: number) => void {
  let previous = 0;
  return total => {
    increment(total - previous);
    previous = total;
  };
}
