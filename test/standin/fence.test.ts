import {fc, testProp} from '@fast-check/ava';
import {
  CLOSED_FENCE,
  applyGrant,
  isGranted,
  type Grant,
} from '../../standin/upstream/index.js';

const grants = fc.array(
  fc.record<Grant>({
    process: fc.constantFrom('p', 'q', 'r'),
    sequence: fc.nat({max: 5}),
    until: fc.nat({max: 20}),
    slices: fc.array(
      fc.record({slice: fc.nat({max: 2}), epoch: fc.nat({max: 3})}),
      {maxLength: 2},
    ),
  }),
  {maxLength: 12},
);

testProp(
  'only the highest grant of the latest process is in force, until it expires',
  [grants, fc.nat({max: 20})],
  (t, all, clock) => {
    let fence = CLOSED_FENCE;
    const order: string[] = [];
    for (const grant of all) {
      const isRetired = order.slice(0, -1).includes(grant.process);
      const decision = applyGrant(fence, grant);
      t.is(decision.accepted, !isRetired);
      if (!order.includes(grant.process)) order.push(grant.process);
      fence = decision.fence;
    }
    const ofLast = all.filter(grant => grant.process === order.at(-1));
    const highest = ofLast.reduce<Grant | undefined>(
      (best, grant) => (best && best.sequence >= grant.sequence ? best : grant),
      undefined,
    );
    for (const slice of [0, 1, 2]) {
      const epoch = highest?.slices.findLast(s => s.slice === slice)?.epoch;
      const expected = epoch !== undefined && clock < highest!.until;
      t.is(isGranted(fence, {slice, epoch: epoch ?? 0}, clock), expected);
      t.false(isGranted(fence, {slice, epoch: (epoch ?? 0) + 1}, clock));
    }
  },
  {seed: 20261203, numRuns: 500},
);
