import {existsSync, readFileSync} from 'node:fs';
import test from 'ava';
import type {Result} from '../../measure/results.js';

const ROOT = new URL('../../../', import.meta.url);
const PAGES = ['docs/CAPACITY.md', 'docs/design/placement.md'];

/**
 * A figure followed by its anchor `<!-- file: name; value of the row; ... -->`.
 */
const FIGURE = /(-?[\d.,]*\d)\s*<!--\s*([\w-]+):\s*([^>]*?)\s*-->/g;

interface Anchor {
  readonly value: number;
  readonly file: string;
  readonly name: string;
  readonly of: readonly string[];
}

function anchorsOf(text: string): readonly Anchor[] {
  return Array.from(text.matchAll(FIGURE), ([, value, file, rest]) => {
    const [name, ...of] = rest.split(';').map(part => part.trim());
    return {value: Number(value.replaceAll(',', '')), file, name, of};
  });
}

function resultsOf(file: string): readonly Result[] {
  const url = new URL(`measure/results/${file}.jsonl`, ROOT);
  if (!existsSync(url)) return [];
  const lines = readFileSync(url, 'utf8').trim().split('\n');
  return lines.map(line => JSON.parse(line) as Result);
}

function isBacked({value, file, name, of}: Anchor): boolean {
  const found = resultsOf(file).filter(result => {
    const values = Object.values(result.of ?? {}).map(String);
    return result.name === name && of.every(part => values.includes(part));
  });
  return found.length === 1 && found[0].value === value;
}

test('parses figures and their anchors', t => {
  t.deepEqual(anchorsOf('1,200 ms <!-- no -->, 3.5<!-- a: b; c d; e -->'), [
    {value: 3.5, file: 'a', name: 'b', of: ['c d', 'e']},
  ]);
  const anchor = {file: 'slopes', name: 'heartbeat-bytes', of: []};
  t.false(isBacked({...anchor, value: -1}));
});

for (const page of PAGES) {
  test(`every anchored figure of ${page} is in the committed results`, t => {
    const anchors = anchorsOf(readFileSync(new URL(page, ROOT), 'utf8'));
    t.true(anchors.length > 0);
    t.deepEqual(
      anchors.filter(anchor => !isBacked(anchor)),
      [],
    );
  });
}
