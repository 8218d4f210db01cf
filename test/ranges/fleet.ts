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

/** Duration of a hold in the model. */
export const HOLD_MS = 5000;

/** Factor by which the slowest instance clock prolongs a hold. */
const SLOWEST_CLOCK = 1.02;

/** Age of a heartbeat from which an instance ignores the answer. */
const ANSWER_LIMIT_MS = 1000;

/** A safety rule that is disabled, to check that the exploration detects it. */
export type DisabledRule =
  | 'none'
  | 'expire-immediately'
  | 'grant-from-stale-map'
  | 'accept-every-release'
  | 'reuse-fence'
  | 'ignore-revocation-number';

/** Step of the exploration. */
export type Command =
  | {readonly kind: 'send'; readonly node: number}
  | {readonly kind: 'deliver'; readonly node: number; readonly late: boolean}
  | {readonly kind: 'receive'; readonly node: number}
  | {readonly kind: 'restart-daemon'; readonly node: number}
  | {readonly kind: 'restart-instance'; readonly node: number}
  | {readonly kind: 'revoke'; readonly node: number}
  | {readonly kind: 'expire'}
  | {readonly kind: 'place'; readonly without: number}
  | {readonly kind: 'move'; readonly from: number; readonly node: number}
  | {readonly kind: 'wait'; readonly ms: number};

interface Held extends HeldRange {
  readonly until: number;
}

interface Instance {
  readonly incarnation: Incarnation;
  readonly sequence: number;
  readonly holds: readonly Held[];
  readonly freed: readonly Release[];
}

interface SentHeartbeat {
  readonly report: Omit<HoldReport, 'arrivedAt'>;
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
  /** The map at the last heartbeat; used if a rule is disabled. */
  readonly copy?: RangeMap;
}

/** Two instances hold a key at once, or a fencing token did not increase. */
export class SafetyError extends Error {}

/** A fleet in virtual time whose instances are granted keys by heartbeat. */
export interface Fleet {
  readonly run: (command: Command) => void;
  readonly map: () => RangeMap;
}

/**
 * Creates a fleet whose keys are divided among its simulated instances.
 *
 * @example
 * const fleet = createFleet(3, 'none');
 * fleet.run({kind: 'send', node: 0});
 */
export function createFleet(size: number, disabled: DisabledRule): Fleet {
  let now = 0;
  let born = 0;
  const startInstance = (index: number): Instance => ({
    incarnation: {node: `node-${index}`, id: `i-${index}`, born: ++born},
    sequence: 0,
    holds: [],
    freed: [],
  });
  const nodes: Node[] = Array.from({length: size}, (_, index) => ({
    instance: startInstance(index),
    grants: NO_HEARTBEAT_GRANTS,
    heartbeats: [],
  }));
  const incarnations = () =>
    nodes.map(({instance}) => ({
      incarnation: instance.incarnation,
      capacity: 1,
    }));
  const others = (index: number) =>
    incarnations().filter(
      ({incarnation}) => incarnation.node !== `node-${index}`,
    );
  const {from, to} = ALL_KEYS;
  let map = createMap(divide([], from, to, incarnations()));
  const seenAt = new Map<string, number>();
  const fences = new Map<number, {fence: number; incarnation: Incarnation}>();

  const replace = (index: number, change: Partial<Node>) => {
    nodes[index] = {...nodes[index], ...change};
  };

  const send = (index: number) => {
    const {instance, heartbeats} = nodes[index];
    const sequence = instance.sequence + 1;
    const live = instance.holds.filter(held => held.until > now);
    const report = {
      incarnation: instance.incarnation,
      sequence,
      holds: live,
      freed: instance.freed,
    };
    const heartbeat = {report, sentAt: now};
    replace(index, {
      instance: {...instance, sequence, holds: live},
      heartbeats: [...heartbeats, heartbeat].slice(-3),
    });
  };

  const takeOverKeys = (index: number, incarnation: Incarnation) => {
    map = takeOver(map, incarnation, true);
    if (disabled === 'reuse-fence') {
      map = {...map, terms: map.terms.map(t => ({...t, fence: 1}))};
    }
    replace(index, {grants: {...NO_HEARTBEAT_GRANTS, incarnation}});
  };

  const deliver = (index: number, late: boolean) => {
    const {heartbeats, grants: known} = nodes[index];
    const heartbeat = late ? heartbeats.at(0) : heartbeats.at(-1);
    if (!heartbeat) return;
    const {sentAt} = heartbeat;
    const report = {...heartbeat.report, arrivedAt: now};
    const {incarnation} = report;
    replace(index, {
      heartbeats: heartbeats.filter(other => other !== heartbeat),
    });
    if (known.incarnation && incarnation.born < known.incarnation.born) return;
    if (
      isSameIncarnation(known.incarnation, incarnation) &&
      report.sequence <= known.sequence
    )
      return;
    if (!isSameIncarnation(known.incarnation, incarnation))
      takeOverKeys(index, incarnation);
    let grants = applyHeartbeat(nodes[index].grants, report);
    if (disabled === 'accept-every-release' && report.freed.length > 0) {
      grants = {...grants, released: [...grants.released, ...report.freed]};
    }
    map = release(map, incarnation, findReleases(map, grants, report));
    const copy = nodes[index].copy ?? map;
    const isCopied = disabled === 'grant-from-stale-map';
    if (!isCopied) map = restore(map, incarnation);
    const confirmed = isCopied ? copy : map;
    const rows = heldBy(confirmed, incarnation);
    grants = dropRecordedReleases(
      recordGrants(grants, report.sequence, rows, now, {
        readableUntil: now + ANSWER_LIMIT_MS * SLOWEST_CLOCK,
        leasedUntil: now + HOLD_MS * SLOWEST_CLOCK,
      }),
      map,
    );
    replace(index, {grants, copy: map, answer: {report, sentAt, rows}});
  };

  const receive = (index: number) => {
    const {instance, answer} = nodes[index];
    if (!answer) return;
    replace(index, {answer: undefined});
    const {report, sentAt, rows} = answer;
    if (!isSameIncarnation(report.incarnation, instance.incarnation)) return;
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
    for (const row of holds) checkFence(row, instance.incarnation);
    replace(index, {instance: {...instance, holds, freed}});
  };

  const checkFence = (row: HeldRange, incarnation: Incarnation) => {
    for (const key of [row.from, row.to]) {
      const last = fences.get(key);
      if (
        last &&
        !isSameIncarnation(last.incarnation, incarnation) &&
        row.fence <= last.fence
      ) {
        throw new SafetyError(
          `expected a higher fencing token than ${row.fence} for key ${key}`,
        );
      }
      fences.set(key, {fence: row.fence, incarnation});
    }
  };

  const expireDue = () => {
    const bound = disabled === 'expire-immediately' ? 0 : HOLD_MS * 1.03 + 100;
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
        map = revoke(map, nodes[command.node].instance.incarnation);
        return;
      case 'expire':
        return expireDue();
      case 'place':
        map = placeFree(map, planFree(map, [], others(command.without)));
        return;
      case 'move': {
        const {incarnation} = nodes[command.node].instance;
        const range = {from: command.from, to: command.from + 999};
        map = startMoves(map, [{...range, holder: incarnation}]);
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
        .map(row => ({row, incarnation: instance.incarnation})),
    );
    for (const a of held) {
      for (const b of held) {
        const overlaps = a.row.from <= b.row.to && b.row.from <= a.row.to;
        if (a.incarnation !== b.incarnation && overlaps) {
          throw new SafetyError(
            `${a.incarnation.node} and ${b.incarnation.node} hold a key`,
          );
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
