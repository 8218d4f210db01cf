import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  NO_CONFIGURATION,
  applyAccepted,
  decideChange,
  formatAccepted,
  formatDifference,
  proposeRollback,
  parseAccepted,
  versionInForce,
  type ChangeDecision,
} from '../../src/settings/index.js';
import {accepted, sites} from './fixture.js';

const NOW = Date.UTC(2026, 0, 2);

function proposal(basedOn: number, deadlineMs: number, service = {}) {
  const change = `mine-${deadlineMs}`;
  return {sites: sites(deadlineMs, service), basedOn, change, author: 'b'};
}

function refusal(decision: ChangeDecision): readonly string[] {
  if (decision.kind !== 'refused') return [decision.kind];
  return [decision.reason, ...decision.differences.map(formatDifference)];
}

test('of two operators on one version the second is shown what differs', t => {
  const first = decideChange({current: accepted(4)}, proposal(4, 70), NOW);
  t.is(first.kind, 'accepted');
  if (first.kind !== 'accepted') return;
  t.is(first.accepted.version, 5);
  const second = decideChange({current: first.accepted}, proposal(4, 80), NOW);
  t.deepEqual(refusal(second), [
    'stale',
    'x services.rota.deadlineMs: 70 -> 80',
  ]);
});

test('a change that took effect is recognised, also when superseded', t => {
  const mine = {...accepted(5), change: 'mine-70'};
  const inCurrent = decideChange({current: mine}, proposal(4, 70), NOW);
  const recorded = {current: accepted(7), follower: mine};
  const inHistory = decideChange(recorded, proposal(4, 70), NOW);
  t.deepEqual(inCurrent, {kind: 'repeated', accepted: mine});
  t.deepEqual(inHistory, {kind: 'repeated', accepted: mine});
});

test('the fields that place a key in a slice are fixed', t => {
  const changed = proposal(4, 70, {slices: 128, key: {header: 'x-rota'}});
  t.deepEqual(refusal(decideChange({current: accepted(4)}, changed, NOW)), [
    'fixed-field',
    'x services.rota.key: {"path":"/rota/{key}"} -> {"header":"x-rota"}',
    'x services.rota.slices: 64 -> 128',
  ]);
});

test('a site is removed only where the proposal says so', t => {
  const two = [...sites(4), {...sites(4)[0], site: 'y'}];
  const current = {...accepted(4), sites: two};
  const forgotten = decideChange({current}, proposal(4, 70), NOW);
  t.deepEqual(refusal(forgotten), ['missing-site', 'y site: "y" -> absent']);
  const meant = {...proposal(4, 70), removesSites: true};
  t.is(decideChange({current}, meant, NOW).kind, 'accepted');
});

test('a configuration larger than the platform holds is refused', t => {
  const prefixes = [...Array(60_000).keys()].map(n => `key-prefix-${1e9 + n}`);
  const handover = {oldAddress: '127.0.0.1:9', share: 0, prefixes};
  const decision = decideChange({}, proposal(0, 70, {handover}), NOW);
  t.is(refusal(decision)[0], 'too-large');
});

test('going back makes a new, higher version', t => {
  const request = {basedOn: 9, change: 'back', author: 'b'};
  const back = proposeRollback(accepted(3), request);
  const decision = decideChange({current: accepted(9)}, back, NOW);
  t.is(decision.kind, 'accepted');
  if (decision.kind !== 'accepted') return;
  t.is(decision.accepted.version, 10);
  t.deepEqual(decision.accepted.sites, accepted(3).sites);
});

test('a stored configuration reads back as it was', t => {
  const handover = {oldAddress: '127.0.0.1:9', share: 0.5, prefixes: ['a']};
  const entry = accepted(3, {handover});
  t.deepEqual(parseAccepted(formatAccepted(entry)), entry);
  t.throws(() => parseAccepted('{"version": 0}'));
});

testProp(
  'deliveries in any order never lower the version in force',
  [
    fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}),
    fc.integer({min: 0, max: 20}),
  ],
  (t, deliveries, restartAt) => {
    const entries = new Map(deliveries.map(v => [v, accepted(v)]));
    let state = NO_CONFIGURATION;
    let highest = 0;
    for (const [index, version] of deliveries.entries()) {
      if (index === restartAt) {
        state = NO_CONFIGURATION;
        highest = 0;
      }
      state = applyAccepted(state, entries.get(version)!);
      highest = Math.max(highest, version);
      t.is(versionInForce(state), highest);
    }
  },
  {seed: 11, numRuns: 200},
);
