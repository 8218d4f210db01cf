import test from 'ava';
import {PLATFORM_DIALECT} from '../../platform/dialect.js';
import {parseResponseHead} from '../../src/upstream/index.js';

const ID = 'r1';
const INSTANCE = 'i-1';
const SIGNED = ['X-Vanillaspool-Response-Signature', 'signed'] as const;

const headOf = (status: number, ...headers: readonly string[]) =>
  parseResponseHead(
    status,
    headers.map(text => Buffer.from(text)),
  );

/** Reads the statement of a response; undefined if the verdict carries none. */
function readStatement(status: number, ...headers: readonly string[]) {
  const head = headOf(status, ...headers);
  const verdict = PLATFORM_DIALECT.judge(head, ID, INSTANCE);
  return 'statement' in verdict ? verdict.statement : undefined;
}

for (const name of ['Server-Limit', 'X-Vanillaspool-Server-Limit']) {
  test(`a limit is read from each response of the instance: ${name}`, t => {
    t.is(readStatement(200, ...SIGNED, name, '18.1')?.limit, 18.1);
    t.is(readStatement(500, ...SIGNED, name, ' 0 ')?.limit, 0);
    t.is(
      readStatement(503, 'X-Vanillaspool-Not-Executed', '1', name, '.5')?.limit,
      0.5,
    );
    t.is(
      readStatement(421, 'X-Vanillaspool-Not-Executed', '1', name, '7')?.limit,
      7,
    );
    const passedOn = headOf(200, ...SIGNED, name, '18.1');
    t.is(PLATFORM_DIALECT.statement(passedOn).limit, 18.1);
  });
}

test('a shutdown notice is read from each response of the instance', t => {
  const leaving = ['Server-Leaving', '1'];
  t.true(readStatement(200, ...SIGNED, ...leaving)?.isLeaving);
  t.true(readStatement(421, ...leaving)?.isLeaving);
  t.false(readStatement(200, ...SIGNED, 'Server-Leaving', '0')?.isLeaving);
  t.deepEqual(
    readStatement(200, ...SIGNED, 'Server-Leaving', 'soon')?.problems,
    ['server-leaving: soon'],
  );
});

for (const text of ['', '-1', 'NaN', '1e9', 'Infinity', '+5', '5s', '5,5']) {
  test(`a limit that is not a decimal number is reported and ignored: '${text}'`, t => {
    const statement = readStatement(200, ...SIGNED, 'Server-Limit', text);
    t.is(statement?.limit, undefined);
    t.is(statement?.problems.length, 1);
  });
}

test('two limits in one response are reported and ignored', t => {
  const twice = ['Server-Limit', '5', 'server-limit', '6'];
  const statement = readStatement(200, ...SIGNED, ...twice);
  t.is(statement?.limit, undefined);
  t.deepEqual(statement?.problems, ['server-limit: 5, 6']);
});

test('a response of another instance, unsigned or to another request has no statement', t => {
  const limit = ['Server-Limit', '5'];
  const other = ['X-Vanillaspool-Instance-Id', 'i-2'];
  t.is(readStatement(421, ...other, ...limit), undefined);
  t.is(readStatement(200, ...limit), undefined);
  const late = ['X-Vanillaspool-Request-Id', 'r0'];
  t.is(readStatement(200, ...SIGNED, ...late, ...limit), undefined);
});
