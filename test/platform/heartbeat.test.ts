import test from 'ava';
import fc from 'fast-check';
import {readHeartbeat} from '../../platform/heartbeat.js';

/** Creates the heartbeat of an instance that holds keys. */
function createWireHeartbeat(): Record<string, unknown> {
  return {
    service: 'stock',
    address: '10.128.0.9:8080',
    zone: 'north',
    version: 'v1',
    slots: 6,
    state: 'ready',
    cold_left_s: 0,
    seq: 4,
    born: 1000,
    holds: [[0, 99, 7]],
    freed: [[100, 199, 'token']],
  };
}

test('a heartbeat without lists of keys is valid', t => {
  const {holds, freed, ...rest} = createWireHeartbeat();
  t.truthy(holds && freed);
  const read = readHeartbeat('i-1', JSON.stringify(rest));
  t.true('heartbeat' in read && read.heartbeat.holds.length === 0);
});

// Guards against a report of another writer that is taken for one of the
// instance, whose requests are then not served (OWNER).
for (const [name, ...values] of [
  ['service', 7, null, undefined],
  ['address', 'nowhere', 7, undefined],
  ['zone', 7, null, undefined],
  ['version', 1, null, undefined],
  ['slots', '12', 0, -1, 1.5, 1e300, null, undefined],
  ['state', 'lost', 1, undefined],
  ['cold_left_s', '0', null, undefined],
  ['seq', '5', 1.5, undefined],
  ['born', '1000', 1.5, undefined],
  ['holds', [['x', 1, 1]], [[0, 99, '7']], [[0, 99]], [[99, 0, 7]], 'all'],
  ['freed', [[0, 65_536, 'token']], [[0, 99, 7]], [[0, 99]], 'all', null],
] as const) {
  for (const value of values) {
    const found = JSON.stringify(value) ?? 'nothing';
    test(`a heartbeat with ${found} as its ${name} is rejected`, t => {
      const text = JSON.stringify({...createWireHeartbeat(), [name]: value});
      const read = readHeartbeat('i-1', text);
      t.true('problem' in read && read.problem.includes(name));
    });
  }
}

test('replacing any field is accepted or rejected without an exception', t => {
  fc.assert(
    fc.property(
      fc.constantFrom(...Object.keys(createWireHeartbeat())),
      fc.jsonValue(),
      (name, value) => {
        const text = JSON.stringify({...createWireHeartbeat(), [name]: value});
        const read = readHeartbeat('i-1', text);
        if ('problem' in read) {
          t.not(read.problem, '');
          return;
        }
        const {slots, coldMs, holds} = read.heartbeat;
        t.true(slots > 0 && coldMs >= 0);
        t.true(holds.every(({from, to}) => Number.isInteger(from + to)));
      },
    ),
    {numRuns: 2000, seed: 18},
  );
});
