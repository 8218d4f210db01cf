import test from 'ava';
import {readGolden} from './golden.js';
import {
  formatFinding,
  loadSettings,
  type Settings,
} from '../../src/settings/index.js';

function daemonFile(changes: object = {}): string {
  const fields = {
    instance: 'rota-display-1',
    site: 'newsroom',
    region: 'belgium',
    domain: 'a',
    callers: '127.0.0.1:8001',
    peers: '127.0.0.1:8002',
    control: {host: '127.0.0.1', port: 8003},
    platform: '[::1]:8000',
    secrets: [{id: 'one', key: '0123456789abcdef'}],
  };
  return JSON.stringify({...fields, ...changes}, undefined, 1);
}

function load(text: string): Settings | readonly string[] {
  const loaded = loadSettings('d.jsonc', text);
  return loaded.kind === 'loaded'
    ? loaded.settings
    : loaded.findings.map(formatFinding);
}

test('defaults fill what a settings file leaves out', t => {
  const settings = load(`// comment\n${daemonFile()}`) as Settings;
  t.deepEqual(settings.lease, {
    durationMs: 450,
    renewMs: 150,
    driftShare: 0.02,
    witnesses: 3,
  });
  t.deepEqual(settings.callers, {host: '127.0.0.1', port: 8001});
  t.deepEqual(settings.platform, {host: '::1', port: 8000});
  t.deepEqual(settings.seeds, []);
});

test('all findings are reported together with their places', t => {
  const text = `{
  "instnace": "a",
  "site": 3,
  "callers": "localhost:80",
  "peers": {"host": "127.0.0.1", "prot": 1},
  "control": "127.0.0.1:9",
  "platform": "127.0.0.1:9",
  "secrets": [{"id": "a", "key": "0123456789abcdef"},
              {"id": "a", "key": "short"}],
  "lease": {"durationMs": 100, "renewMs": 90, "witnesses": 2},
  "region": "r", "region": "s", "domain": "d"
}`;
  const found = load(text) as readonly string[];
  t.is(found.join('\n') + '\n', readGolden('daemon-findings.txt'));
});

test('a fault of syntax is reported at its place', t => {
  t.deepEqual(load('{\n  "site" "x"\n}'), [
    'd.jsonc:2:10: syntax: colon expected',
  ]);
});
