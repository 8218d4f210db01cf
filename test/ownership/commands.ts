import fc from 'fast-check';
import {newFleet} from './fleet.js';
import type {Decide, Fleet, Plan} from './fleet.js';

/** What the commands expect; the fixture itself checks after every step. */
interface CommandModel {
  steps: number;
}

type FaultCommand = fc.Command<CommandModel, Fleet>;

/** Time for which the fleet runs before the first fault, in milliseconds. */
const START_MS = 3000;

/** Time after the last fault within which every slice is served. */
export const RECOVERY_MS = 30_000;

function command(
  name: string,
  waitMs: number,
  apply: (fleet: Fleet) => void,
): FaultCommand {
  return {
    check: () => true,
    run: (model, fleet) => {
      model.steps++;
      apply(fleet);
      fleet.run(waitMs);
    },
    toString: () => `${name} then ${waitMs} ms`,
  };
}

/** Generates sequences of faults for a fleet of the given size. */
export function faultCommands(size: number, upstreamsLeave = false) {
  const index = fc.nat(size - 1);
  const wait = fc.integer({min: 0, max: 2000});
  const leaving = fc
    .tuple(index, fc.boolean(), wait)
    .map(([i, leaves, ms]) =>
      command(`upstream ${leaves ? 'leaves' : 'comes'} ${i}`, ms, f =>
        f.setLeaving(i, leaves),
      ),
    );
  const pauseMs = fc.integer({min: 20, max: 3000});
  const group = fc.subarray(
    Array.from({length: size}, (_, i) => i),
    {minLength: 1},
  );
  return fc.commands(
    [
      fc
        .tuple(index, wait)
        .map(([i, ms]) => command(`kill ${i}`, ms, f => f.kill(i))),
      fc
        .tuple(index, wait)
        .map(([i, ms]) => command(`restart ${i}`, ms, f => f.restart(i))),
      fc
        .tuple(index, pauseMs, wait)
        .map(([i, pause, ms]) =>
          command(`pause ${i} for ${pause}`, ms, f => f.pause(i, pause)),
        ),
      fc
        .tuple(index, pauseMs, wait)
        .map(([i, pause, ms]) =>
          command(`freeze upstream ${i} for ${pause}`, ms, f =>
            f.freezeUpstream(i, pause),
          ),
        ),
      fc
        .tuple(group, wait)
        .map(([g, ms]) =>
          command(`cut ${g.join('+')}`, ms, f => f.partition(g)),
        ),
      wait.map(ms => command('heal', ms, f => f.endPartition())),
      fc.tuple(fc.boolean(), wait).map(([down, ms]) =>
        command(`platform ${down ? 'down' : 'up'}`, ms, f => {
          f.faults.platformDown = down;
        }),
      ),
      fc.tuple(index, fc.boolean(), wait).map(([i, cut, ms]) =>
        command(`platform ${cut ? 'lost' : 'found'} by ${i}`, ms, f => {
          f.nodes[i].isPlatformCut = cut;
        }),
      ),
      fc.tuple(fc.integer({min: 1, max: 5}), wait).map(([n, ms]) =>
        command(`lose ${n} answers`, ms, f => {
          f.faults.loseAnswers = n;
        }),
      ),
      fc
        .tuple(fc.constantFrom(0, 0.1, 0.4), fc.constantFrom(0, 50, 400), wait)
        .map(([loss, delay, ms]) =>
          command(`loss ${loss}, delay ${delay}`, ms, f => {
            f.faults.loss = loss;
            f.faults.delayMs = delay;
            f.faults.duplication = loss;
          }),
        ),
      fc.tuple(fc.constantFrom(0, 300, 1500), wait).map(([delay, ms]) =>
        command(`platform delay ${delay}`, ms, f => {
          f.faults.platformDelayMs = delay;
        }),
      ),
      fc
        .tuple(index, wait)
        .map(([i, ms]) => command(`drain ${i}`, ms, f => f.drain(i))),
      ...(upstreamsLeave ? [leaving] : []),
    ],
    {maxCommands: 30},
  );
}

/** Options of one exploration. */
export interface Exploration {
  readonly seed: number;
  readonly runs: number;
  readonly sizes?: readonly number[];
  readonly fencing?: 'enforced' | 'ignored';
  readonly decide?: Decide;
  readonly plan?: Plan;
  /** Upstreams say that they are about to end, and others come. */
  readonly upstreamsLeave?: boolean;
}

/**
 * Runs random faults against fleets of three to seven daemons. Throws the
 * smallest counter-example found.
 */
export function explore(exploration: Exploration): void {
  const {seed, runs, sizes = [3, 4, 5, 7], upstreamsLeave} = exploration;
  const property = fc.property(
    fc.constantFrom(...sizes).chain(size =>
      fc.record({
        size: fc.constant(size),
        fleetSeed: fc.nat(),
        commands: faultCommands(size, upstreamsLeave),
      }),
    ),
    ({size, fleetSeed, commands}) => {
      const fleet = newFleet({
        size,
        seed: fleetSeed,
        fencing: exploration.fencing,
        decide: exploration.decide,
        plan: exploration.plan,
      });
      fleet.run(START_MS);
      fc.modelRun(() => ({model: {steps: 0}, real: fleet}), commands);
      recover(fleet);
    },
  );
  fc.assert(property, {
    seed,
    numRuns: runs,
    endOnFailure: true,
    includeErrorInReport: true,
  });
}

/** Ends all faults and expects every slice to be served within the bound. */
export function recover(fleet: Fleet): void {
  Object.assign(fleet.faults, {
    loss: 0,
    duplication: 0,
    delayMs: 0,
    platformDown: false,
    loseAnswers: 0,
    platformDelayMs: 0,
  });
  fleet.endPartition();
  for (const node of fleet.nodes) {
    node.isPlatformCut = false;
    node.upstream.frozenUntil = 0;
    fleet.setLeaving(node.index, false);
    if (!node.isAlive || node.state.isDraining) fleet.restart(node.index);
  }
  const end = fleet.now() + RECOVERY_MS;
  while (fleet.unserved().length > 0 && fleet.now() < end) fleet.run(500);
  fleet.run(3000);
  const unserved = fleet.unserved();
  if (unserved.length > 0) {
    throw new Error(`slices ${unserved.join(' ')} are not served again`);
  }
}
