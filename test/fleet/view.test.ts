import test from 'ava';
import {
  EMPTY_VIEW,
  applyChange,
  memberKey,
  membersOf,
  type FleetView,
} from '../../src/fleet/index.js';

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

test('each view returns its own members of a service', t => {
  const one = register(EMPTY_VIEW, 'a', 'stock', 1);
  t.deepEqual(nodesOf(one, 'stock'), ['a']);
  const two = register(register(one, 'b', 'stock', 2), 'c', 'desk', 3);
  t.deepEqual(nodesOf(two, 'stock'), ['a', 'b']);
  t.deepEqual(nodesOf(two, 'desk'), ['c']);
  t.deepEqual(nodesOf(one, 'stock'), ['a']);
  const moved = register(two, 'a', 'desk', 4);
  t.deepEqual(nodesOf(moved, 'stock'), ['b']);
  t.deepEqual(nodesOf(moved, 'none'), []);
});
