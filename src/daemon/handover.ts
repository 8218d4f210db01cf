import type {Configuration, Handover} from '../model/index.js';
import type {Settled} from '../ownership/index.js';
import type {PreviousHandover} from '../routing/index.js';

/** Time between two reviews of a handover, in milliseconds. */
export const HANDOVER_REVIEW_INTERVAL_MS = 50;

/** Time between two notices that this daemon has settled, in milliseconds. */
const NOTICE_INTERVAL_MS = 500;

/** Notices that are sent after a change. */
const NOTICES_PER_CHANGE = 8;

/**
 * Keeps the keys that change sides in a handover at rest until no daemon has a
 * request in flight that began under an earlier configuration.
 */
export interface HandoverTracker {
  /** Notes that another configuration came into force. */
  readonly configurationChanged: (
    before: Configuration | undefined,
    after: Configuration | undefined,
    version: number,
  ) => void;
  /** Notes that another daemon has settled under a version. */
  readonly recordSettled: (instance: string, version: number) => void;
  /**
   * Ends the handovers under which every daemon has settled.
   *
   * @param settled Whether this daemon has settled.
   * @param others Instances of the other live daemons.
   * @returns A notice for the other daemons, when one is due.
   */
  readonly review: (
    settled: boolean,
    others: readonly string[],
  ) => Settled | undefined;
  /** Returns the handover of a service that still has requests in flight. */
  readonly previous: (service: string) => PreviousHandover | undefined;
  /** Resolves when a handover may have ended. */
  readonly waitForEnd: () => Promise<void>;
}

interface PendingChange {
  readonly handover: Handover | undefined;
  /** Version under which every daemon has to settle. */
  readonly version: number;
}

/**
 * Creates the switch of a daemon.
 *
 * @param clock Monotonic time in milliseconds.
 *
 * @example
 * const handover = createHandoverSwitch(() => performance.now());
 */
export function createHandoverTracker(clock: () => number): HandoverTracker {
  const changes = new Map<string, PendingChange>();
  const settledAt = new Map<string, number>();
  const waiters = new Set<() => void>();
  let version = 0;
  let noticesLeft = 0;
  let noticedAt = -Infinity;
  const wakeWaiters = () => {
    for (const wake of [...waiters]) wake();
    waiters.clear();
  };
  return {
    configurationChanged: (before, after, next) => {
      version = next;
      if (before) recordChanges(changes, before, after, next);
      const isAffected = changes.size > 0 || hasHandover(after);
      noticesLeft = isAffected ? NOTICES_PER_CHANGE : 0;
      noticedAt = -Infinity;
    },
    recordSettled: (instance, settled) => {
      const known = settledAt.get(instance) ?? 0;
      settledAt.set(instance, Math.max(known, settled));
    },
    review: (settled, others) => {
      if (!settled) return undefined;
      if (removeSettledChanges(changes, settledAt, others)) wakeWaiters();
      const isDue = clock() - noticedAt >= NOTICE_INTERVAL_MS;
      if (!isDue || (noticesLeft === 0 && changes.size === 0)) return undefined;
      noticesLeft = Math.max(0, noticesLeft - 1);
      noticedAt = clock();
      return {kind: 'settled', version};
    },
    previous: service => changes.get(service),
    waitForEnd: () => new Promise(resolve => waiters.add(resolve)),
  };
}

function recordChanges(
  changes: Map<string, PendingChange>,
  before: Configuration,
  after: Configuration | undefined,
  version: number,
): void {
  for (const {name, handover} of before.services) {
    const next = after?.services.find(service => service.name === name);
    const pending = changes.get(name);
    if (pending) changes.set(name, {...pending, version});
    else if (!sameHandover(handover, next?.handover)) {
      changes.set(name, {handover, version});
    }
  }
}

/** Forgets the changes under which every daemon has settled. */
function removeSettledChanges(
  changes: Map<string, PendingChange>,
  settledAt: ReadonlyMap<string, number>,
  others: readonly string[],
): boolean {
  let hasEnded = false;
  for (const [service, {version}] of changes) {
    const isSettledEverywhere = others.every(
      name => (settledAt.get(name) ?? 0) >= version,
    );
    if (!isSettledEverywhere) continue;
    changes.delete(service);
    hasEnded = true;
  }
  return hasEnded;
}

function hasHandover(configuration: Configuration | undefined): boolean {
  return configuration?.services.some(({handover}) => handover) ?? false;
}

function sameHandover(
  a: Handover | undefined,
  b: Handover | undefined,
): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
