import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  applyKnownMember,
  applyListing,
  memberKey,
  membersOf,
  quarantineKey,
  type FleetView,
} from '../../src/fleet/index.js';
import {versionOf} from '../../src/store/index.js';

function register(
  view: FleetView,
  node: string,
  service: string,
  version: number,
): FleetView {
  const [domain, id, state] = ['zone', `i-${node}`, 'ready'];
  const member = {node, domain, service, id, born: 1, slots: 4, state};
  const value = JSON.stringify(member);
  return applyChange(view, {key: memberKey(node), value, version}).view;
}

const nodesOf = (view: FleetView, service: string) =>
  membersOf(view, service).map(({node}) => node);

const [A, B, C] = ['10.1.0.1:7620', '10.1.0.2:7620', '10.1.0.3:7620'];

test('each view returns its own members of a service', t => {
  const one = register(EMPTY_VIEW, A, 'stock', 1);
  t.deepEqual(nodesOf(one, 'stock'), [A]);
  const two = register(register(one, B, 'stock', 2), C, 'desk', 3);
  t.deepEqual(nodesOf(two, 'stock'), [A, B]);
  t.deepEqual(nodesOf(two, 'desk'), [C]);
  t.deepEqual(nodesOf(one, 'stock'), [A]);
  const moved = register(two, A, 'desk', 4);
  t.deepEqual(nodesOf(moved, 'stock'), [B]);
  t.deepEqual(nodesOf(moved, 'none'), []);
});

// Guards against an object of another writer that names an instance to use.
for (const [name, fields] of [
  ['slots in a text', {slots: '4'}],
  ['no service', {service: undefined}],
  ['another key', {node: B}],
  ['no address', {node: 'nowhere'}],
  ['an unknown state', {state: 'lost'}],
] as const) {
  test(`a registration with ${name} leaves the known one in force`, t => {
    const view = register(EMPTY_VIEW, A, 'stock', 1);
    const known = view.members.get(A)?.value;
    const value = JSON.stringify({...known, ...fields});
    const step = applyChange(view, {key: memberKey(A), value, version: 2});
    t.truthy(step.problem);
    t.deepEqual(step.view.members.get(A)?.value, known);
  });
}

// Guards against an acknowledged departure that the store has undone (DRAIN).
test('a later state that another daemon knows stays in force, for the same instance', t => {
  const view = register(EMPTY_VIEW, A, 'stock', 5);
  const member = view.members.get(A)?.value;
  if (!member) throw new Error('the instance is not registered');
  const left = {...member, state: 'left'} as const;
  const next = applyKnownMember(view, left);
  t.deepEqual(next.members.get(A), {value: left, version: 5, isUndone: true});
  t.is(applyKnownMember(next, member), next);
  t.is(applyKnownMember(view, {...left, born: 0}), view);
  t.is(applyKnownMember(view, {...left, node: B}), view);
});

// Guards against a departure of another writer that stays in force though the daemon
// of the instance has corrected it.
test('a later state stays in force only if the store may have undone it', t => {
  const first = register(EMPTY_VIEW, A, 'stock', versionOf(1, 5));
  const member = first.members.get(A)?.value;
  const key = memberKey(A);
  const ready = JSON.stringify(member);
  const left = JSON.stringify({...member, state: 'left'});
  const stateAfter = (...changes: [value: string, version: number][]) => {
    const view = changes.reduce(
      (v, [value, version]) => applyChange(v, {key, value, version}).view,
      first,
    );
    return view.members.get(A)?.value.state;
  };
  const leaving = [left, versionOf(1, 6)] as [string, number];
  t.is(stateAfter(leaving), 'left');
  t.is(stateAfter(leaving, [ready, versionOf(1, 7)]), 'ready');
  const restored = [ready, versionOf(2, 5)] as [string, number];
  t.is(stateAfter(leaving, restored), 'left');
  t.is(stateAfter(leaving, restored, [ready, versionOf(2, 6)]), 'left');
});

const REQUEST = {
  fingerprint: 'f',
  address: 'GET a / ',
  lives: ['i-1@1'],
  since: 1,
};

function quarantine(view: FleetView, requests: unknown, version: number) {
  const value = JSON.stringify({requests});
  return applyChange(view, {key: quarantineKey('desk'), value, version}).view;
}

// Guards against a released request that is quarantined again by a copy of the store.
test('a release from quarantine stays in force unless there is new evidence', t => {
  const released = {...REQUEST, isReleased: true};
  const held = {...REQUEST, isReleased: false};
  const renewed = {...held, lives: ['i-1@1', 'i-2@2']};
  const view = quarantine(EMPTY_VIEW, [released], versionOf(1, 9));
  const copy = quarantine(view, [held], versionOf(2, 5));
  t.deepEqual(copy.quarantines.get('desk'), {
    value: {requests: [released]},
    version: versionOf(2, 5),
    isUndone: true,
  });
  const later = quarantine(copy, [renewed], versionOf(2, 6));
  t.deepEqual(later.quarantines.get('desk'), {
    value: {requests: [renewed]},
    version: versionOf(2, 6),
  });
});

// Guards against a quarantine that no daemon writes again, as it seems to be stored.
test('quarantined requests that a listing lacks are not stored any more', t => {
  const held = {...REQUEST, isReleased: false};
  const view = quarantine(EMPTY_VIEW, [held], versionOf(1, 9));
  const listing = {revision: versionOf(2, 5), objects: []};
  const {view: next} = applyListing(view, listing);
  t.deepEqual(next.quarantines.get('desk')?.value.requests, []);
});
