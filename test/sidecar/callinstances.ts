import {
  overlaps,
  type HeldRange,
  type KeyRange,
} from '../../src/ranges/index.js';
import {
  createCallDelivery,
  type GrantOutcome,
  type InstanceCalls,
  type Recipient,
  type ReleaseOutcome,
} from '../../src/sidecar/index.js';
import {EMPTY_STATEMENT} from '../../src/upstream/index.js';
import {
  SLOWEST_CLOCK,
  without,
  type GrantPath,
  type Instance,
  type Process,
  type Row,
} from './lives.js';

/** Faults of the calls to instances. */
export interface CallFaults {
  /** Share of the grants that don't arrive or whose answer is lost. */
  readonly lostGrantShare: number;
  /** Share of the grants that are not answered and applied seconds later. */
  readonly lateGrantShare: number;
  /** Share of the releases that don't arrive or whose answer is lost. */
  readonly lostReleaseShare: number;
}

/** Longest time after its arrival in which a late grant is applied. */
const MAX_LATE_MS = 6000;

type Outcome = GrantOutcome | ReleaseOutcome;

/** What an instance answers a call, and when. */
interface Reply<T> {
  readonly outcome: T;
  readonly at: number;
}

/** A call before it is sent. */
interface Call<T> {
  readonly name: string;
  readonly limitMs: number;
  readonly isLost: boolean;
  /** Outcome at an instance other than the expected one, or at none. */
  readonly notRun: T;
  /** Outcome without an answer. */
  readonly unanswered: T;
  /** Lets the instance execute the call; undefined if it does not answer. */
  readonly run: (instance: Instance) => Reply<T> | undefined;
}

const isWithdrawn = (row: Row) => row.workEndsAt !== undefined;

/**
 * Grants keys by calls that simulated instances answer. Each call has a
 * connection of its own, so that calls overtake each other. A call that arrives
 * after its time limit, or that the instance reads after it, has no effect.
 *
 * @example
 * await playLives({...options, grants: grantByCall(faults)});
 */
export function grantByCall(faults: CallFaults): GrantPath {
  return play => {
    const {now, between, chance, schedule, checkTake, trace} = play;
    let handovers = 0;

    const liveRows = (instance: Instance) =>
      instance.rows.filter(row => row.until > now());

    /** Returns whether the instance accepts the grant. */
    const applyGrant = (
      instance: Instance,
      range: HeldRange,
      until: number,
    ): boolean => {
      const isOutranked = instance.seen.some(
        known => overlaps(known, range) && known.fence > range.fence,
      );
      if (isOutranked) return false;
      const rows = liveRows(instance);
      const held = rows.filter(row => !isWithdrawn(row));
      let fresh: HeldRange[] = [range];
      for (const row of held) {
        if (row.fence === range.fence) fresh = without(fresh, row);
      }
      for (const part of fresh) checkTake(instance, part, true);
      instance.seen = [...without(instance.seen, range), range];
      instance.rows = [
        ...without(held, range),
        {...range, until},
        ...rows.filter(isWithdrawn),
      ];
      return true;
    };

    /** Returns when the work on the range ends. */
    const withdraw = (instance: Instance, range: KeyRange): number => {
      const rows = liveRows(instance);
      const held = rows.filter(row => !isWithdrawn(row));
      const kept = without(held, range);
      const withdrawn = held
        .filter(row => overlaps(row, range))
        .map(row => ({
          ...row,
          from: Math.max(row.from, range.from),
          to: Math.min(row.to, range.to),
          workEndsAt: now() + play.endOfWorkMs(),
        }));
      const working = [...rows.filter(isWithdrawn), ...withdrawn];
      instance.rows = [...kept, ...working];
      for (const {workEndsAt} of withdrawn) {
        schedule(workEndsAt, instance, () => {
          const isRunning = (row: Row) =>
            row.workEndsAt === undefined || row.workEndsAt > now();
          instance.rows = instance.rows.filter(isRunning);
        });
      }
      const ends = working
        .filter(row => overlaps(row, range))
        .map(({workEndsAt = 0}) => workEndsAt);
      return Math.max(now(), ...ends);
    };

    const send = <T extends Outcome>(
      daemon: Process,
      expected: Recipient,
      {name, limitMs, isLost, notRun, unanswered, run}: Call<T>,
    ) =>
      new Promise<T>(resolve => {
        if (!daemon.isAlive) return;
        const sentAt = now();
        const answer = (at: number, outcome: T) =>
          schedule(at, daemon, () => resolve(outcome));
        /** The connection is reset, or the call remains unanswered. */
        const lose = () => {
          if (chance(0.5)) answer(now() + play.heldUpMs(), unanswered);
        };
        schedule(sentAt + limitMs, daemon, () => resolve(unanswered), true);
        if (isLost && chance(0.5)) return lose();
        schedule(sentAt + play.heldUpMs(), undefined, () => {
          const {instance} = daemon.machine;
          if (
            !instance?.isAlive ||
            instance.incarnation.id !== expected.incarnation.id
          ) {
            answer(now() + play.heldUpMs(), notRun);
            return;
          }
          schedule(now(), instance, () => {
            if (now() - sentAt >= limitMs) return;
            const reply = run(instance);
            const result = reply && !isLost ? reply.outcome.kind : 'no answer';
            const age = Math.round(now() - sentAt);
            trace(
              `${name} at ${instance.incarnation.id}, ${age} ms: ${result}`,
            );
            if (!reply || isLost) return lose();
            schedule(reply.at, instance, () =>
              answer(now() + play.heldUpMs(), reply.outcome),
            );
          });
        });
      });

    const callsOf = (daemon: Process): InstanceCalls => ({
      grant: (to, range, _handover, holdMs, limitMs) => {
        const {from, to: last, fence} = range;
        const name = `grant ${from}-${last}:${fence} for ${Math.round(holdMs)} ms`;
        const run = (instance: Instance) => {
          const until = now() + holdMs * SLOWEST_CLOCK;
          if (chance(faults.lateGrantShare)) {
            schedule(now() + between(100, MAX_LATE_MS), instance, () => {
              if (until <= now()) return;
              trace(`${name} is applied late`);
              applyGrant(instance, range, until);
            });
            return undefined;
          }
          const isAccepted = applyGrant(instance, range, until);
          const outcome = grantOutcome(isAccepted ? 'granted' : 'outranked');
          return {outcome, at: now()};
        };
        return send(daemon, to, {
          name,
          limitMs,
          isLost: chance(faults.lostGrantShare),
          notRun: grantOutcome('refused'),
          unanswered: grantOutcome('unanswered'),
          run,
        });
      },
      release: (to, range, limitMs) => {
        const run = (instance: Instance): Reply<ReleaseOutcome> => {
          const at = withdraw(instance, range);
          const handover = `h${++handovers}`;
          const statement = EMPTY_STATEMENT;
          return {outcome: {kind: 'released', handover, statement}, at};
        };
        return send<ReleaseOutcome>(daemon, to, {
          name: `release ${range.from}-${range.to}:${range.fence}`,
          limitMs,
          isLost: chance(faults.lostReleaseShare),
          notRun: RELEASE_FAILED,
          unanswered: RELEASE_FAILED,
          run,
        });
      },
    });

    return daemon => context => createCallDelivery(context, callsOf(daemon));
  };
}

const RELEASE_FAILED: ReleaseOutcome = {
  kind: 'unknown',
  message: 'failed',
  statement: EMPTY_STATEMENT,
};

function grantOutcome(kind: GrantOutcome['kind']): GrantOutcome {
  return {kind, message: kind, statement: EMPTY_STATEMENT};
}
