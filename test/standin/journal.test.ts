import test from 'ava';
import {
  createJournal,
  readJournal,
  type Execution,
} from '../../standin/upstream/index.js';

function execution(id: string): Execution {
  const path = `/rota/a?request=${id}`;
  const started = 10;
  return {id, method: 'GET', path, key: 'a', started, outcome: 'running'};
}

test('a journal file cut off by a kill still yields the executions before it', t => {
  let text = '';
  const journal = createJournal(line => {
    text += JSON.stringify(line) + '\n';
  });
  const first = journal.begin(execution('1'));
  journal.begin(execution('2'));
  journal.end(first, 'committed', 12);
  const torn = text + '{"number":2,"exec';
  t.deepEqual(readJournal(torn), [
    {...execution('1'), outcome: 'committed', ended: 12, committed: 12},
    execution('2'),
  ]);
});
