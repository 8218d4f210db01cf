import type {Configuration, Handover} from '../model/index.js';
import type {Settled} from '../ownership/index.js';
import type {PreviousHandover} from '../routing/index.js';

/** Time between two reviews of a handover, in milliseconds. */
export const HANDOVER_REVIEW_MS = 50;

/** Time between two notices that this daemon has settled, in milliseconds. */
const NOTICE_MS = 500;

/** Notices that are sent after a change. */
const NOTICES = 8;

/**
 * Keeps the keys that change sides in a handover at rest until no daemon has a
 * request in flight that began under an earlier configuration.
 */
export interface HandoverSwitch {
  /** Notes that another configuration came into force. */
  readonly changed: (
    before: Configuration | undefined,
    after: Configuration | undefined,
    version: number,
  ) => void;
  /** Notes that another daemon has settled under a version. */
  readonly receive: (instance: string, version: number) => void;
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
  readonly ended: () => Promise<void>;
}

interface Change {
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
export function createHandoverSwitch(clock: () => number): HandoverSwitch {
  const changes = new Map<string, Change>();
  const settledAt = new Map<string, number>();
  const waiting = new Set<() => void>();
  let version = 0;
  let notices = 0;
  let noticedAt = -Infinity;
  const end = () => {
    for (const wake of [...waiting]) wake();
    waiting.clear();
  };
  return {
    changed: (before, after, next) => {
      version = next;
      if (before) noteChanges(changes, before, after, next);
      const concerned = changes.size > 0 || hasHandover(after);
      notices = concerned ? NOTICES : 0;
      noticedAt = -Infinity;
    },
    receive: (instance, settled) => {
      const known = settledAt.get(instance) ?? 0;
      settledAt.set(instance, Math.max(known, settled));
    },
    review: (settled, others) => {
      if (!settled) return undefined;
      if (endSettled(changes, settledAt, others)) end();
      const due = clock() - noticedAt >= NOTICE_MS;
      if (!due || (notices === 0 && changes.size === 0)) return undefined;
      notices = Math.max(0, notices - 1);
      noticedAt = clock();
      return {kind: 'settled', version};
    },
    previous: service => changes.get(service),
    ended: () => new Promise(resolve => waiting.add(resolve)),
  };
}

function noteChanges(
  changes: Map<string, Change>,
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
function endSettled(
  changes: Map<string, Change>,
  settledAt: ReadonlyMap<string, number>,
  others: readonly string[],
): boolean {
  let ended = false;
  for (const [service, {version}] of changes) {
    const all = others.every(name => (settledAt.get(name) ?? 0) >= version);
    if (!all) continue;
    changes.delete(service);
    ended = true;
  }
  return ended;
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
