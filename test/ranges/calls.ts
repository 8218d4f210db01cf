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

/** Duration of a hold in the model. */
const HOLD_MS = 5000;

/** Factor by which the slowest instance clock prolongs a hold. */
const SLOWEST_CLOCK = 1.02;

const SERVICE = 'stock';

/** A safety rule that is disabled, to check that the exploration detects it. */
export type DisabledRule =
  | 'none'
  /** A call without an answer is assumed to have had no effect. */
  | 'ignore-unanswered-calls'
  /** A release without an answer is assumed to have succeeded. */
  | 'accept-unanswered-release'
  /** A restarted daemon ignores the calls of its earlier process. */
  | 'ignore-earlier-calls'
  /** Keys are granted from a stale copy of the map. */
  | 'grant-from-stale-map'
  /** Revoked keys are freed immediately. */
  | 'expire-immediately'
  /** Keys change holders without a new fencing token. */
  | 'reuse-fence';

/** Fault that is injected into a call, or `answered` for none. */
export type CallFate = 'answered' | 'lost' | 'late' | 'dropped';

/** Step of the exploration. */
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
  readonly incarnation: Incarnation;
  readonly sentAt: number;
  readonly limitMs: number;
  /** Hold duration of a grant; undefined for a release. */
  readonly holdMs?: number;
  readonly answer: (outcome: GrantOutcome | ReleaseOutcome) => void;
}

interface Held extends HeldRange {
  readonly until: number;
}

interface Node {
  incarnation: Incarnation;
  isDraining: boolean;
  held: readonly Held[];
  seen: readonly HeldRange[];
  pending: readonly PendingCall[];
  late: readonly {readonly row: Held; readonly incarnation: Incarnation}[];
  view: FleetView;
  delivery: GrantDelivery;
}

/** A fleet in virtual time whose instances are granted keys by call. */
export interface CalledFleet {
  readonly run: (step: CallStep) => Promise<void>;
  readonly map: () => RangeMap;
  readonly heldBy: (node: number) => readonly KeyRange[];
}

/**
 * Creates a fleet of daemons that grant keys by call to simulated instances.
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
  const fences: {readonly row: HeldRange; readonly incarnation: Incarnation}[] =
    [];
  const startIncarnation = (index: number): Incarnation => ({
    node: `node-${index}`,
    id: `i-${index}`,
    born: ++born,
  });
  const incarnations = Array.from({length: size}, (_, index) =>
    startIncarnation(index),
  );
  const capacity = (incarnation: Incarnation) => ({incarnation, capacity: 1});
  let map = createMap(
    divide([], ALL_KEYS.from, ALL_KEYS.to, incarnations.map(capacity)),
  );

  const stored = (): StoredObject => ({
    key: rangesKey(SERVICE),
    value: JSON.stringify(map),
    version,
  });
  const write = (next: RangeMap) => {
    if (next === map) return;
    const terms =
      disabled === 'reuse-fence'
        ? next.terms.map(term => ({...term, fence: 1}))
        : next.terms;
    map = {...next, terms};
    version += 1;
  };

  const storeOf = (index: number): ObjectStore => ({
    get: () => {
      const copy = nodes[index].view.maps.get(SERVICE);
      if (disabled !== 'grant-from-stale-map' || !copy) {
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
        const {incarnation} = node;
        const call = {range, incarnation, sentAt: now, limitMs, holdMs, answer};
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
      const isTrusted = disabled === 'ignore-unanswered-calls';
      return {kind: isTrusted ? 'refused' : 'unanswered', message, statement};
    }
    return disabled === 'accept-unanswered-release'
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
    for (const {row: other, incarnation} of fences) {
      if (
        isSameIncarnation(incarnation, node.incarnation) ||
        !overlaps(other, row)
      )
        continue;
      if (row.fence <= other.fence) {
        throw new SafetyError(`token ${row.fence} did not grow`);
      }
    }
    fences.push({row, incarnation: node.incarnation});
    removeRange(node, row);
    node.seen = [...node.seen, row];
    node.held = [...node.held, row];
    return true;
  };

  const deliverCall = (node: Node, call: PendingCall, fate: CallFate) => {
    const {range, holdMs} = call;
    if (
      fate === 'dropped' ||
      !isSameIncarnation(call.incarnation, node.incarnation)
    ) {
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
      node.late = [...node.late, {row, incarnation: node.incarnation}];
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
        wallClock: () => now,
        sleep: ms =>
          new Promise<void>(resolve => {
            timers.push({at: now + ms, resolve});
          }),
        leaseMs: HOLD_MS,
        onStatement: () => {},
        recipient: () => {
          const {incarnation, isDraining} = nodes[index];
          const address = {host: '127.0.0.1', port: 1};
          const state = isDraining ? 'draining' : 'ready';
          return {
            incarnation: incarnation,
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
  for (const [index, incarnation] of incarnations.entries()) {
    nodes.push({
      incarnation,
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
    // Calls of the earlier process may still arrive; their answers are lost.
    node.pending = node.pending.map(call => ({...call, answer: () => {}}));
    node.delivery = createDelivery(index);
    node.view = applyChange(node.view, stored()).view;
    if (disabled !== 'ignore-earlier-calls') node.delivery.resume();
  };

  const restartInstance = (index: number) => {
    const node = nodes[index];
    Object.assign(node, {
      incarnation: startIncarnation(index),
      held: [],
      seen: [],
      late: [],
    });
    node.isDraining = false;
    node.delivery.reset();
    write(takeOver(map, node.incarnation, true));
    sync(node);
  };

  const expireDue = () => {
    for (const term of map.terms) {
      if (term.state !== 'revoked') continue;
      const {holder, revocation} = term;
      const name = `${holder.node} ${holder.born} ${revocation}`;
      const since = seenAt.get(name) ?? now;
      seenAt.set(name, since);
      const boundMs =
        disabled === 'expire-immediately' ? 0 : leaseBoundMs(HOLD_MS);
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
        if (isSameIncarnation(first.incarnation, node.incarnation))
          apply(node, first.row);
        return;
      }
      case 'sync':
        return sync(nodes[step.node]);
      case 'restart-daemon':
        return restartDaemon(step.node);
      case 'restart-instance':
        return restartInstance(step.node);
      case 'revoke':
        return write(revoke(map, nodes[step.node].incarnation));
      case 'drain':
        nodes[step.node].isDraining = true;
        return nodes[step.node].delivery.reconcile();
      case 'expire':
        return expireDue();
      case 'place': {
        const others = nodes
          .filter((_, index) => index !== step.without)
          .map(({incarnation}) => capacity(incarnation));
        return write(placeFree(map, planFree(map, [], others)));
      }
      case 'move': {
        const {incarnation} = nodes[step.node];
        const range = {from: step.from, to: step.from + 999};
        return write(startMoves(map, [{...range, holder: incarnation}]));
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
        throw new SafetyError(
          `${a.incarnation.node} and ${b.incarnation.node} hold a key`,
        );
      }
    }
  };

  return {
    run: async step => {
      perform(step);
      // Lets the daemons process the answers.
      for (let turns = 0; turns < 3; turns++) await turn();
      check();
    },
    map: () => map,
    heldBy: index => nodes[index].held,
  };
}
