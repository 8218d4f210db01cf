import {setImmediate as turn} from 'node:timers/promises';
import {
  EMPTY_VIEW,
  applyChange,
  rangesKey,
  type FleetView,
} from '../../src/fleet/index.js';
import {
  ALL_KEYS,
  divide,
  expire,
  createMap,
  overlaps,
  placeFree,
  planFree,
  revoke,
  isSameIncarnation,
  startMoves,
  takeOver,
  type HeldRange,
  type Incarnation,
  type KeyRange,
  type RangeMap,
} from '../../src/ranges/index.js';
import {
  createCallDelivery,
  leaseBoundMs,
  type GrantDelivery,
  type GrantOutcome,
  type InstanceCalls,
  type ReleaseOutcome,
} from '../../src/sidecar/index.js';
import type {ObjectStore, StoredObject} from '../../src/store/index.js';
import {EMPTY_STATEMENT} from '../../src/upstream/index.js';
import {SafetyError} from './fleet.js';

/** Length of a hold in the model, in milliseconds. */
const HOLD_MS = 5000;

/** Rate of the slowest instance's clock. */
const SLOWEST_CLOCK = 1.02;

const SERVICE = 'stock';

/** A rule that is left out, to show that the exploration finds it. */
export type DisabledRule =
  | 'none'
  /** A call without an answer is taken to have had no effect. */
  | 'trust-silence'
  /** A release without an answer is taken to be made. */
  | 'trust-lost-release'
  /** A restarted daemon forgets the calls of its earlier process. */
  | 'forget-earlier-process'
  /** Keys are granted by a copy of the map. */
  | 'confirm-from-a-copy'
  /** Revoked keys are freed at once. */
  | 'expire-at-once'
  /** Keys change hands without a new fencing token. */
  | 'keep-fence';

/** What becomes of a call when it reaches its instance. */
export type CallFate = 'answered' | 'lost' | 'late' | 'dropped';

/** One step of the exploration. */
export type CallStep =
  | {readonly kind: 'call'; readonly node: number; readonly fate: CallFate}
  | {readonly kind: 'apply-late'; readonly node: number}
  | {readonly kind: 'sync'; readonly node: number}
  | {readonly kind: 'restart-daemon'; readonly node: number}
  | {readonly kind: 'restart-instance'; readonly node: number}
  | {readonly kind: 'revoke'; readonly node: number}
  | {readonly kind: 'drain'; readonly node: number}
  | {readonly kind: 'expire'}
  | {readonly kind: 'place'; readonly without: number}
  | {readonly kind: 'move'; readonly from: number; readonly node: number}
  | {readonly kind: 'wait'; readonly ms: number};

interface PendingCall {
  readonly range: HeldRange;
  readonly life: Incarnation;
  readonly sentAt: number;
  readonly limitMs: number;
  /** Undefined for a release. */
  readonly holdMs?: number;
  readonly answer: (outcome: GrantOutcome | ReleaseOutcome) => void;
}

interface Held extends HeldRange {
  readonly until: number;
}

interface Node {
  life: Incarnation;
  isDraining: boolean;
  held: readonly Held[];
  seen: readonly HeldRange[];
  pending: readonly PendingCall[];
  late: readonly {readonly row: Held; readonly life: Incarnation}[];
  view: FleetView;
  delivery: GrantDelivery;
}

/** A fleet in virtual time whose instances get their keys by call. */
export interface CalledFleet {
  readonly run: (step: CallStep) => Promise<void>;
  readonly map: () => RangeMap;
  readonly heldBy: (node: number) => readonly KeyRange[];
}

/**
 * Creates a fleet of daemons that deliver keys by call to instances of the model.
 *
 * @example
 * const fleet = createCalledFleet(3, 'none');
 * await fleet.run({kind: 'call', node: 0, fate: 'lost'});
 */
export function createCalledFleet(
  size: number,
  disabled: DisabledRule,
): CalledFleet {
  let now = 0;
  let born = 0;
  let version = 1;
  const timers: {readonly at: number; readonly resolve: () => void}[] = [];
  const seenAt = new Map<string, number>();
  const fences: {readonly row: HeldRange; readonly life: Incarnation}[] = [];
  const begin = (index: number): Incarnation => ({
    node: `node-${index}`,
    id: `i-${index}`,
    born: ++born,
  });
  const lives = Array.from({length: size}, (_, index) => begin(index));
  const capacity = (life: Incarnation) => ({life, capacity: 1});
  let map = createMap(
    divide([], ALL_KEYS.from, ALL_KEYS.to, lives.map(capacity)),
  );

  const stored = (): StoredObject => ({
    key: rangesKey(SERVICE),
    value: JSON.stringify(map),
    version,
  });
  const write = (next: RangeMap) => {
    if (next === map) return;
    const terms =
      disabled === 'keep-fence'
        ? next.terms.map(term => ({...term, fence: 1}))
        : next.terms;
    map = {...next, terms};
    version += 1;
  };

  const storeOf = (index: number): ObjectStore => ({
    get: () => {
      const copy = nodes[index].view.maps.get(SERVICE);
      if (disabled !== 'confirm-from-a-copy' || !copy) {
        return Promise.resolve(stored());
      }
      const value = JSON.stringify(copy.value);
      return Promise.resolve({...stored(), value, version: copy.version});
    },
    list: () => Promise.resolve({objects: [stored()], revision: version}),
    put: (_, value, expected) => {
      if (expected !== version) {
        return Promise.resolve({kind: 'conflict', current: stored()});
      }
      write(JSON.parse(value) as RangeMap);
      return Promise.resolve({kind: 'stored', version});
    },
    delete: () => Promise.resolve({kind: 'stored', version}),
    watch: async function* () {},
  });

  const callsOf = (index: number): InstanceCalls => {
    const send = <T extends GrantOutcome | ReleaseOutcome>(
      range: HeldRange,
      limitMs: number,
      holdMs?: number,
    ) =>
      new Promise<T>(resolve => {
        const node = nodes[index];
        const answer = resolve as PendingCall['answer'];
        const {life} = node;
        const call = {range, life, sentAt: now, limitMs, holdMs, answer};
        node.pending = [...node.pending, call];
      });
    return {
      grant: (_, range, _handover, holdMs, limitMs) =>
        send<GrantOutcome>(range, limitMs, holdMs),
      release: (_, range, limitMs) => send<ReleaseOutcome>(range, limitMs),
    };
  };

  const unanswered = (call: PendingCall): GrantOutcome | ReleaseOutcome => {
    const statement = EMPTY_STATEMENT;
    const message = 'no answer';
    if (call.holdMs !== undefined) {
      const isTrusted = disabled === 'trust-silence';
      return {kind: isTrusted ? 'refused' : 'unanswered', message, statement};
    }
    return disabled === 'trust-lost-release'
      ? {kind: 'released', handover: '', statement}
      : {kind: 'unknown', message, statement};
  };

  const removeRange = (node: Node, range: KeyRange) => {
    node.held = node.held.flatMap(row => {
      if (!overlaps(row, range)) return [row];
      const parts = [
        {...row, to: range.from - 1},
        {...row, from: range.to + 1},
      ];
      return parts.filter(({from, to}) => from <= to);
    });
  };

  const apply = (node: Node, row: Held): boolean => {
    const isOutranked = node.seen.some(
      other => overlaps(other, row) && other.fence > row.fence,
    );
    if (isOutranked) return false;
    for (const {row: other, life} of fences) {
      if (isSameIncarnation(life, node.life) || !overlaps(other, row)) continue;
      if (row.fence <= other.fence) {
        throw new SafetyError(`token ${row.fence} did not grow`);
      }
    }
    fences.push({row, life: node.life});
    removeRange(node, row);
    node.seen = [...node.seen, row];
    node.held = [...node.held, row];
    return true;
  };

  const deliverCall = (node: Node, call: PendingCall, fate: CallFate) => {
    const {range, holdMs} = call;
    if (fate === 'dropped' || !isSameIncarnation(call.life, node.life)) {
      return call.answer(unanswered(call));
    }
    if (holdMs === undefined) {
      removeRange(node, range);
      if (fate !== 'answered') return call.answer(unanswered(call));
      const released = {kind: 'released', handover: 'token'} as const;
      return call.answer({...released, statement: EMPTY_STATEMENT});
    }
    const row = {...range, until: now + holdMs * SLOWEST_CLOCK};
    if (fate === 'late') {
      node.late = [...node.late, {row, life: node.life}];
      return call.answer(unanswered(call));
    }
    const kind = apply(node, row) ? 'granted' : 'outranked';
    const answered = {kind, message: '', statement: EMPTY_STATEMENT} as const;
    call.answer(fate === 'lost' ? unanswered(call) : answered);
  };

  const createDelivery = (index: number) =>
    createCallDelivery(
      {
        store: storeOf(index),
        view: () => nodes[index].view,
        observeChange: change => {
          const node = nodes[index];
          node.view = applyChange(node.view, change).view;
        },
        log: () => {},
        readThroughPeer: () => Promise.resolve(undefined),
        clock: () => now,
        sleep: ms =>
          new Promise<void>(resolve => {
            timers.push({at: now + ms, resolve});
          }),
        leaseMs: HOLD_MS,
        onStatement: () => {},
        recipient: () => {
          const {life, isDraining} = nodes[index];
          const address = {host: '127.0.0.1', port: 1};
          const state = isDraining ? 'draining' : 'ready';
          return {
            incarnation: life,
            service: SERVICE,
            address,
            state,
            isSilent: false,
          };
        },
        onAnswer: () => {},
        onChange: () => {},
      },
      callsOf(index),
    );

  const nodes: Node[] = [];
  for (const [index, life] of lives.entries()) {
    nodes.push({
      life,
      isDraining: false,
      held: [],
      seen: [],
      pending: [],
      late: [],
      view: EMPTY_VIEW,
      delivery: undefined as unknown as GrantDelivery,
    });
    nodes[index].delivery = createDelivery(index);
  }

  const sync = (node: Node) => {
    node.view = applyChange(node.view, stored()).view;
    node.delivery.reconcile();
  };

  const restartDaemon = (index: number) => {
    const node = nodes[index];
    node.view = EMPTY_VIEW;
    // Calls of the process that ended may still arrive; nobody hears of them.
    node.pending = node.pending.map(call => ({...call, answer: () => {}}));
    node.delivery = createDelivery(index);
    node.view = applyChange(node.view, stored()).view;
    if (disabled !== 'forget-earlier-process') node.delivery.resume();
  };

  const restartInstance = (index: number) => {
    const node = nodes[index];
    Object.assign(node, {life: begin(index), held: [], seen: [], late: []});
    node.isDraining = false;
    node.delivery.reset();
    write(takeOver(map, node.life.node, node.life));
    sync(node);
  };

  const expireDue = () => {
    for (const term of map.terms) {
      if (term.state !== 'revoked') continue;
      const {holder, revocation} = term;
      const name = `${holder.node} ${holder.born} ${revocation}`;
      const since = seenAt.get(name) ?? now;
      seenAt.set(name, since);
      const boundMs = disabled === 'expire-at-once' ? 0 : leaseBoundMs(HOLD_MS);
      if (now >= since + boundMs) write(expire(map, holder, revocation));
    }
  };

  const wait = (ms: number) => {
    now += ms;
    for (const node of nodes) {
      const timedOut = node.pending.filter(
        ({sentAt, limitMs}) => now - sentAt > limitMs,
      );
      node.pending = node.pending.filter(call => !timedOut.includes(call));
      for (const call of timedOut) call.answer(unanswered(call));
      node.held = node.held.filter(({until}) => until > now);
    }
    const due = timers.filter(({at}) => at <= now);
    for (const entry of due) {
      timers.splice(timers.indexOf(entry), 1);
      entry.resolve();
    }
  };

  const perform = (step: CallStep) => {
    switch (step.kind) {
      case 'call': {
        const node = nodes[step.node];
        const [call] = node.pending;
        if (!call) return node.delivery.reconcile();
        node.pending = node.pending.slice(1);
        return deliverCall(node, call, step.fate);
      }
      case 'apply-late': {
        const node = nodes[step.node];
        const [first] = node.late;
        node.late = node.late.slice(1);
        if (!first || first.row.until <= now) return;
        if (isSameIncarnation(first.life, node.life)) apply(node, first.row);
        return;
      }
      case 'sync':
        return sync(nodes[step.node]);
      case 'restart-daemon':
        return restartDaemon(step.node);
      case 'restart-instance':
        return restartInstance(step.node);
      case 'revoke':
        return write(revoke(map, nodes[step.node].life));
      case 'drain':
        nodes[step.node].isDraining = true;
        return nodes[step.node].delivery.reconcile();
      case 'expire':
        return expireDue();
      case 'place': {
        const others = nodes
          .filter((_, index) => index !== step.without)
          .map(({life}) => capacity(life));
        return write(placeFree(map, planFree(map, [], others)));
      }
      case 'move': {
        const {life} = nodes[step.node];
        const range = {from: step.from, to: step.from + 999};
        return write(startMoves(map, [{...range, holder: life}]));
      }
      case 'wait':
        return wait(step.ms);
    }
  };

  const check = () => {
    for (const [index, a] of nodes.entries()) {
      for (const b of nodes.slice(index + 1)) {
        const isShared = a.held.some(row =>
          b.held.some(other => overlaps(row, other)),
        );
        if (!isShared) continue;
        throw new SafetyError(`${a.life.node} and ${b.life.node} hold a key`);
      }
    }
  };

  return {
    run: async step => {
      perform(step);
      // The daemons act on what they were answered.
      for (let turns = 0; turns < 3; turns++) await turn();
      check();
    },
    map: () => map,
    heldBy: index => nodes[index].held,
  };
}
