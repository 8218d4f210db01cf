import test from 'ava';
import {newFleet} from './fleet.js';

const SIZE = 8;

const START_MS = 4000;

/** Time within which witness sets are replaced after a change, in milliseconds. */
const REPLACE_MS = 8000;

/** Returns the failure domains of a holder's witnesses other than its own. */
function countOtherDomains(node: ReturnType<typeof newFleet>['nodes'][number]) {
  const {self, holder} = node.state;
  const domains = holder.currentSet.witnesses.map(({domain}) => domain);
  return new Set(domains.filter(domain => domain !== self.domain)).size;
}

test('witnesses are spread again after a failure domain has restarted', t => {
  const fleet = newFleet({size: SIZE, seed: 6});
  fleet.run(START_MS);
  const domains = new Set(fleet.nodes.map(({state}) => state.self.domain));
  for (const domain of domains) {
    const members = fleet.nodes.filter(n => n.state.self.domain === domain);
    members.forEach(({index}) => fleet.kill(index));
    fleet.run(REPLACE_MS);
    members.forEach(({index}) => fleet.restart(index));
    fleet.run(REPLACE_MS);
    const spread = fleet.nodes.map(countOtherDomains);
    const possible = Math.min(3, domains.size - 1);
    t.deepEqual(
      spread,
      fleet.nodes.map(() => possible),
    );
  }
});
