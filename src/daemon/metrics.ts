import type {MetricDefinition} from '../telemetry/index.js';

/** Metrics of the resource usage, platform calls and datagrams of a daemon. */
export const DAEMON_METRICS = {
  cpu: {
    type: 'counter',
    name: 'vanillaspool_process_cpu_seconds_total',
    help: 'CPU time of the process, in user and system mode.',
    labels: [],
  },
  heap: {
    type: 'gauge',
    name: 'vanillaspool_process_heap_bytes',
    help: 'Heap in use.',
    labels: [],
  },
  resident: {
    type: 'gauge',
    name: 'vanillaspool_process_resident_bytes',
    help: 'Resident memory of the process.',
    labels: [],
  },
  platformCalls: {
    type: 'counter',
    name: 'vanillaspool_platform_calls_total',
    help: 'Calls to the platform, by kind and result; a watch counts once.',
    labels: ['kind', 'result'],
  },
  datagrams: {
    type: 'counter',
    name: 'vanillaspool_peer_datagrams_total',
    help: 'Messages between daemons over UDP, by direction (sent, received).',
    labels: ['direction'],
  },
  datagramBytes: {
    type: 'counter',
    name: 'vanillaspool_peer_datagram_bytes_total',
    help: 'Size of the messages between daemons over UDP without headers, by direction (sent, received).',
    labels: ['direction'],
  },
} as const satisfies Readonly<Record<string, MetricDefinition>>;
