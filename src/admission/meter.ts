import type {Increment, Log, Metrics, Setter} from '../telemetry/index.js';
import {ADMISSION_EVENTS} from './events.js';
import {ADMISSION_METRICS} from './metrics.js';
import type {AdmissionState, Verdict} from './state.js';

/** Counts and logs what admission decides. */
export interface Meter {
  readonly observe: (
    state: AdmissionState,
    verdicts: readonly Verdict[],
    now: number,
  ) => void;
}

interface Gauges {
  readonly running: Setter;
  readonly waiting: Setter;
  readonly slots: Setter;
}

const REFUSING_INTERVAL_MS = 10_000;

/**
 * Creates the meter of one admission. Refusals are logged at most once every
 * ten seconds, with their number since the last time.
 *
 * @example
 * createMeter(createMetrics(), log).observe(state, verdicts, now);
 */
export function createMeter(
  metrics: Metrics | undefined,
  log: Log | undefined,
): Meter {
  const countVerdict = metrics ? verdictCounter(metrics) : undefined;
  const gauges = metrics ? createGauges(metrics) : undefined;
  let refused = 0;
  let lastLoggedAt = -Infinity;
  const logRefusals = (now: number, verdict: Verdict) => {
    if (verdict.kind !== 'refused' || verdict.reason !== 'overloaded') return;
    refused++;
    if (now - lastLoggedAt < REFUSING_INTERVAL_MS) return;
    log?.(ADMISSION_EVENTS.refusing, {refused});
    refused = 0;
    lastLoggedAt = now;
  };
  return {
    observe: (state, verdicts, now) => {
      for (const verdict of verdicts) {
        countVerdict?.(verdict);
        if (log) logRefusals(now, verdict);
      }
      if (gauges) setGauges(gauges, state);
    },
  };
}

function createGauges(metrics: Metrics): Gauges {
  return {
    running: metrics.gauge(ADMISSION_METRICS.running, {}),
    waiting: metrics.gauge(ADMISSION_METRICS.waiting, {}),
    slots: metrics.gauge(ADMISSION_METRICS.slots, {}),
  };
}

function setGauges(gauges: Gauges, state: AdmissionState): void {
  gauges.running(state.running.length);
  gauges.waiting(state.waiting.length);
  gauges.slots(state.slots);
}

function verdictCounter(metrics: Metrics): (verdict: Verdict) => void {
  const counters = new Map<string, Map<string, Increment>>();
  return verdict => {
    const {service} = verdict.request;
    const name = verdict.kind === 'admitted' ? 'admitted' : verdict.reason;
    let serviceCounters = counters.get(service);
    if (!serviceCounters) {
      serviceCounters = new Map();
      counters.set(service, serviceCounters);
    }
    let count = serviceCounters.get(name);
    if (!count) {
      const labels = {service, verdict: name};
      count = metrics.counter(ADMISSION_METRICS.verdicts, labels);
      serviceCounters.set(name, count);
    }
    count();
  };
}
