import {
  ALL_KEYS,
  NO_HEARTBEAT_GRANTS,
  divide,
  expire,
  findReleases,
  createMap,
  recordGrants,
  applyHeartbeat,
  heldBy,
  placeFree,
  planFree,
  release,
  restore,
  revoke,
  isSameIncarnation,
  dropRecordedReleases,
  startMoves,
  takeOver,
  type HeartbeatGrants,
  type HeldRange,
  type HoldReport,
  type Incarnation,
  type RangeMap,
  type Release,
} from '../../src/ranges/index.js';

/** Length of a hold in the model, in milliseconds. */
export const HOLD_MS = 5000;

/** Rate of the slowest instance's clock. */
const SLOWEST_CLOCK = 1.02;

/** Age at which an instance no longer takes an answer. */
const ANSWER_LIMIT_MS = 1000;

/** A rule that is left out, to show that the exploration finds it. */
export type DisabledRule =
  | 'none'
  | 'expire-at-once'
  | 'confirm-from-a-copy'
  | 'trust-every-release'
  | 'keep-fence'
  | 'ignore-revocation-number';

/** One step of the exploration. */
export type Command =
  | {readonly kind: 'send'; readonly node: number}
  | {readonly kind: 'deliver'; readonly node: number; readonly late: boolean}
  | {readonly kind: 'receive'; readonly node: number}
  | {readonly kind: 'restart-daemon'; readonly node: number}
  | {readonly kind: 'restart-instance'; readonly node: number}
  | {readonly kind: 'revoke'; readonly node: number}
  | {readonly kind: 'look'}
  | {readonly kind: 'place'; readonly without: number}
  | {readonly kind: 'move'; readonly from: number; readonly node: number}
  | {readonly kind: 'wait'; readonly ms: number};

interface Held extends HeldRange {
  readonly until: number;
}

interface Instance {
  readonly life: Incarnation;
  readonly sequence: number;
  readonly holds: readonly Held[];
  readonly freed: readonly Release[];
}

interface SentHeartbeat {
  readonly report: HoldReport;
  readonly sentAt: number;
}

interface Answer {
  readonly report: HoldReport;
  readonly sentAt: number;
  readonly rows: readonly HeldRange[];
}

interface Node {
  readonly instance: Instance;
  readonly grants: HeartbeatGrants;
  readonly heartbeats: readonly SentHeartbeat[];
  readonly answer?: Answer;
  /** The map as of the last heartbeat; for a mutation only. */
  readonly copy?: RangeMap;
}

/** Two instances that hold a key at once, or a token that did not grow. */
export class SafetyError extends Error {}

/** A fleet in virtual time that plays the holding of keys. */
export interface Fleet {
  readonly run: (command: Command) => void;
  readonly map: () => RangeMap;
}

/**
 * Creates a fleet whose keys are divided among its instances.
 *
 * @example
 * const fleet = createFleet(3, 'none');
 * fleet.run({kind: 'send', node: 0});
 */
export function createFleet(size: number, disabled: DisabledRule): Fleet {
  let now = 0;
  let born = 0;
  const startInstance = (index: number): Instance => ({
    life: {node: `node-${index}`, id: `i-${index}`, born: ++born},
    sequence: 0,
    holds: [],
    freed: [],
  });
  const nodes: Node[] = Array.from({length: size}, (_, index) => ({
    instance: startInstance(index),
    grants: NO_HEARTBEAT_GRANTS,
    beats: [],
  }));
  const lives = () =>
    nodes.map(({instance}) => ({life: instance.life, capacity: 1}));
  const others = (index: number) =>
    lives().filter(({life}) => life.node !== `node-${index}`);
  const {from, to} = ALL_KEYS;
  let map = createMap(divide([], from, to, lives()));
  const seenAt = new Map<string, number>();
  const fences = new Map<number, {fence: number; life: Incarnation}>();

  const replace = (index: number, change: Partial<Node>) => {
    nodes[index] = {...nodes[index], ...change};
  };

  const send = (index: number) => {
    const {instance, heartbeats: beats} = nodes[index];
    const sequence = instance.sequence + 1;
    const live = instance.holds.filter(held => held.until > now);
    const report: HoldReport = {
      incarnation: instance.life,
      sequence,
      holds: live,
      freed: instance.freed,
    };
    const beat = {report, sentAt: now};
    replace(index, {
      instance: {...instance, sequence, holds: live},
      heartbeats: [...beats, beat].slice(-3),
    });
  };

  const takeOverKeys = (index: number, life: Incarnation) => {
    map = takeOver(map, life.node, life);
    if (disabled === 'keep-fence') {
      map = {...map, terms: map.terms.map(t => ({...t, fence: 1}))};
    }
    replace(index, {grants: {...NO_HEARTBEAT_GRANTS, incarnation: life}});
  };

  const deliver = (index: number, late: boolean) => {
    const {heartbeats: beats, grants: known} = nodes[index];
    const beat = late ? beats.at(0) : beats.at(-1);
    if (!beat) return;
    const {report, sentAt} = beat;
    const {incarnation: life} = report;
    replace(index, {heartbeats: beats.filter(other => other !== beat)});
    if (known.incarnation && life.born < known.incarnation.born) return;
    if (
      isSameIncarnation(known.incarnation, life) &&
      report.sequence <= known.sequence
    )
      return;
    if (!isSameIncarnation(known.incarnation, life)) takeOverKeys(index, life);
    let grants = applyHeartbeat(nodes[index].grants, report);
    if (disabled === 'trust-every-release' && report.freed.length > 0) {
      grants = {...grants, released: [...grants.released, ...report.freed]};
    }
    map = release(map, life, findReleases(map, grants, report));
    const copy = nodes[index].copy ?? map;
    const isCopied = disabled === 'confirm-from-a-copy';
    if (!isCopied) map = restore(map, life);
    const confirmed = isCopied ? copy : map;
    const rows = heldBy(confirmed, life);
    grants = dropRecordedReleases(
      recordGrants(grants, report.sequence, rows, now),
      map,
    );
    replace(index, {grants, copy: map, answer: {report, sentAt, rows}});
  };

  const receive = (index: number) => {
    const {instance, answer} = nodes[index];
    if (!answer) return;
    replace(index, {answer: undefined});
    const {report, sentAt, rows} = answer;
    if (!isSameIncarnation(report.incarnation, instance.life)) return;
    if (report.sequence !== instance.sequence) return;
    if (now - sentAt >= ANSWER_LIMIT_MS) return;
    const until = sentAt + HOLD_MS * SLOWEST_CLOCK;
    const freed = instance.holds
      .filter(held => held.until > now)
      .filter(
        held => !rows.some(row => row.from <= held.from && held.to <= row.to),
      )
      .map(held => ({from: held.from, to: held.to, handover: 'token'}));
    const holds = until > now ? rows.map(row => ({...row, until})) : [];
    for (const row of holds) checkFence(row, instance.life);
    replace(index, {instance: {...instance, holds, freed}});
  };

  const checkFence = (row: HeldRange, life: Incarnation) => {
    for (const key of [row.from, row.to]) {
      const last = fences.get(key);
      if (
        last &&
        !isSameIncarnation(last.life, life) &&
        row.fence <= last.fence
      ) {
        throw new SafetyError(`token ${row.fence} of key ${key} did not grow`);
      }
      fences.set(key, {fence: row.fence, life});
    }
  };

  const expireDue = () => {
    const bound = disabled === 'expire-at-once' ? 0 : HOLD_MS * 1.03 + 100;
    for (const term of map.terms) {
      if (term.state !== 'revoked') continue;
      const {holder, revocation} = term;
      const number = disabled === 'ignore-revocation-number' ? '' : revocation;
      const name = `${holder.node} ${holder.born} ${number}`;
      const since = seenAt.get(name) ?? now;
      seenAt.set(name, since);
      if (now < since + bound) continue;
      const expected =
        disabled === 'ignore-revocation-number' ? undefined : revocation;
      map = expire(map, holder, expected);
    }
  };

  const restartInstance = (index: number) => {
    replace(index, {instance: startInstance(index), answer: undefined});
  };

  const apply = (command: Command) => {
    switch (command.kind) {
      case 'send':
        return send(command.node);
      case 'deliver':
        return deliver(command.node, command.late);
      case 'receive':
        return receive(command.node);
      case 'restart-daemon':
        return replace(command.node, {
          grants: NO_HEARTBEAT_GRANTS,
          answer: undefined,
        });
      case 'restart-instance':
        return restartInstance(command.node);
      case 'revoke':
        map = revoke(map, nodes[command.node].instance.life);
        return;
      case 'look':
        return expireDue();
      case 'place':
        map = placeFree(map, planFree(map, [], others(command.without)));
        return;
      case 'move': {
        const {life} = nodes[command.node].instance;
        const range = {from: command.from, to: command.from + 999};
        map = startMoves(map, [{...range, holder: life}]);
        return;
      }
      case 'wait':
        now += command.ms;
    }
  };

  const check = () => {
    const held = nodes.flatMap(({instance}) =>
      instance.holds
        .filter(row => row.until > now)
        .map(row => ({row, life: instance.life})),
    );
    for (const a of held) {
      for (const b of held) {
        const overlaps = a.row.from <= b.row.to && b.row.from <= a.row.to;
        if (a.life !== b.life && overlaps) {
          throw new SafetyError(`${a.life.node} and ${b.life.node} hold a key`);
        }
      }
    }
  };

  return {
    run: command => {
      apply(command);
      check();
    },
    map: () => map,
  };
}
