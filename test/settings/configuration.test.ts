import {readFileSync} from 'node:fs';
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {
  formatFinding,
  formatSchema,
  loadConfiguration,
  loadSettings,
  mergeOverlay,
  parseText,
  plainValue,
  schemaFiles,
  type SourceFile,
} from '../../src/settings/index.js';
import {readGolden} from './golden.js';

const ROOT = new URL('../../../', import.meta.url);

function example(file: string): SourceFile {
  return {file, text: readFileSync(new URL(file, ROOT), 'utf8')};
}

function findings(base: string, ...overlays: readonly string[]): string {
  const files = overlays.map((text, i) => ({file: `site${i}.jsonc`, text}));
  const loaded = loadConfiguration({file: 'base.jsonc', text: base}, files);
  if (loaded.kind === 'loaded') return 'none\n';
  return loaded.findings.map(f => formatFinding(f) + '\n').join('');
}

function merge(base: unknown, overlay: unknown): unknown {
  const tree = (value: unknown) => parseText('m', JSON.stringify(value)).tree!;
  return plainValue(mergeOverlay(tree(base), tree(overlay)));
}

for (const [deployment, site, weight] of [
  ['newsroom', 'brussels', 'unavailable'],
  ['rental', 'bavaria', 'imbalance'],
] as const) {
  test(`the ${deployment} example loads`, t => {
    const loaded = loadConfiguration(
      example(`examples/${deployment}/base.jsonc`),
      [example(`examples/${deployment}/${site}.jsonc`)],
    );
    if (loaded.kind === 'rejected') {
      t.fail(loaded.findings.map(formatFinding).join('\n'));
      return;
    }
    const {services, weights} = loaded.sites[0];
    t.is(services.length, 4);
    t.is(Math.max(...Object.values(weights)), weights[weight]);
    const {file, text} = example(`examples/${deployment}/vanillaspoold.jsonc`);
    t.is(loadSettings(file, text).kind, 'loaded');
  });
}

test('findings of all files are reported together', t => {
  const base = `{
  "services": {
    "rota": {
      "pathPrefix": "/rota/", "key": {"path": "/rotas/{key}"},
      "slices": 48, "chunks": 128, "slcies": 64
    },
    "swaps": {"pathPrefix": "/rota/swaps/", "slices": 64},
    "import": {"pathPrefix": "/import/", "handover": {"oldAddress": "old:80", "share": 2}}
  },
  "weights": {"imbalance": 0, "churn": 0, "unavailable": 0}
}`;
  const overlay = `{
  "site": "x",
  "services": {"rotta": {"deadlineMs": 5}, "swasp": null}
}`;
  const second = '{"site": "x", "services": {"rota": {"slices": 32}}}';
  t.is(
    findings(base, overlay, second),
    readGolden('configuration-findings.txt'),
  );
});

test('a base without an overlay has no site', t => {
  const base = '{"services": {"a": {"pathPrefix": "/a"}}}';
  t.is(findings(base), 'base.jsonc:1:1: no overlay is given\n');
  t.is(findings(base, '{"site": "x"}'), 'none\n');
});

test('an overlay merges by field, replaces lists and removes by null', t => {
  const base = {a: {b: 1, c: [1, 2], d: 3}, e: 4};
  const overlay = {a: {c: [9], d: null, f: {g: null, h: 5}}};
  t.deepEqual(merge(base, overlay), {a: {b: 1, c: [9], f: {h: 5}}, e: 4});
});

const objects = fc.dictionary(
  fc.constantFrom('a', 'b', 'c', '__proto__'),
  fc.oneof(
    fc.integer(),
    fc.constant(null),
    fc.dictionary(fc.constantFrom('a', 'b'), fc.integer()),
  ),
);

testProp(
  'merging an overlay twice changes nothing more',
  [objects, objects],
  (t, base, overlay) => {
    const once = merge(base, overlay);
    t.deepEqual(merge(once, overlay), once);
  },
  {seed: 7, numRuns: 200},
);

test('the committed JSON Schema files are current', t => {
  for (const {file, schema} of schemaFiles()) {
    const committed = readFileSync(new URL(`schema/${file}`, ROOT), 'utf8');
    t.is(committed, formatSchema(schema), 'run node tools/write-schemas.mjs');
  }
});
