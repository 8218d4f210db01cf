import {spawnSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {
  ControlError,
  EXIT,
  NO_PROGRESS,
  createProgress,
  parseCommand,
  type Context,
  type ControlClient,
  type Options,
} from '../../src/cli/index.js';
import type {Address, Member, Status} from '../../src/model/index.js';
import {CONFIGURATION_KEY, memberKey} from '../../src/store/index.js';
import {parseAccepted} from '../../src/settings/index.js';
import {createMemoryPlatform} from '../../standin/platform/index.js';

const ROOT = new URL('../../../', import.meta.url);

/** A fleet of daemons that take up each version when asked for it. */
interface Fleet {
  readonly frozen: Set<string>;
  readonly run: (line: string) => Promise<string>;
}

function member(instance: string, port: number, site = 'x'): Member {
  const at = (offset: number): Address => ({
    host: '127.0.0.1',
    port: port + offset,
  });
  return {
    instance,
    generation: 1,
    process: `${instance}-process`,
    state: 'serving',
    service: 'rota',
    site,
    region: 'r',
    domain: 'a',
    callers: at(0),
    peers: at(1),
    control: at(2),
    slots: 12,
    connections: 130,
    witnesses: {number: 1, witnesses: []},
  };
}

function statusOf(from: Member, configurationVersion: number): Status {
  const {instance, generation, process, state, site, service} = from;
  const identity = {instance, generation, process, state, site, service};
  return {
    ...identity,
    configurationVersion,
    leaseValid: true,
    slices: 32,
    inFlight: 0,
    upstreamHealthy: true,
    platformReachable: true,
    members: [],
  };
}

async function createFleet(members: readonly Member[]): Promise<Fleet> {
  const platform = createMemoryPlatform();
  for (const one of members) {
    await platform.put(memberKey(one.instance), JSON.stringify(one), 0);
  }
  const frozen = new Set<string>();
  const find = (address: Address) => {
    const found = members.find(one => one.control.port === address.port);
    if (!found || frozen.has(found.instance)) throw new ControlError('silent');
    return found;
  };
  const control: ControlClient = {
    status: async address => {
      const stored = await platform.get(CONFIGURATION_KEY);
      const version = stored ? parseAccepted(stored.value).version : 0;
      return statusOf(find(address), version);
    },
    explain: async (address, service, key) => {
      const {instance: owner} = find(address);
      const reasons = ['the record names rota-1 at epoch 3'];
      return {service, key, slice: 7, owner, epoch: 3, reasons};
    },
    drain: async address => void find(address),
  };
  let now = Date.UTC(2026, 0, 2);
  let changes = 0;
  const lines: string[] = [];
  const context: Context = {
    platform,
    control,
    clock: {now: () => now, sleep: async ms => void (now += ms)},
    log: (kind, fields) =>
      lines.push(`event ${kind.number} ${JSON.stringify(fields)}`),
    progress: createProgress({
      write: text => lines.push(text.trimEnd()),
      isTerminal: false,
    }),
    author: 'ann',
    readText: file =>
      readFileSync(new URL(`test/golden/cli/${file}`, ROOT), 'utf8'),
    newChangeId: () => `change-${++changes}`,
  };
  const environment = {
    version: '1.0.0',
    readText: context.readText,
    withContext: async (
      {json}: Options,
      call: (context: Context) => ReturnType<Command>,
    ) => call(json ? {...context, progress: NO_PROGRESS} : context),
  };
  const run = async (line: string) => {
    const command = parseCommand(environment, [
      'node',
      'ctl',
      ...line.split(' '),
    ]);
    const result = await command!.run();
    const own = command!.isJson
      ? [JSON.stringify(result.report)]
      : result.lines;
    const shown = [`$ ${line}`, ...lines.splice(0), ...own];
    return `${shown.join('\n')}\nexit ${result.code}\n\n`;
  };
  return {frozen, run};
}

type Command = NonNullable<ReturnType<typeof parseCommand>>['run'];

const SESSION = [
  'check bad.jsonc x.jsonc',
  'check base.jsonc x.jsonc y.jsonc',
  'apply base.jsonc x.jsonc y.jsonc',
  'diff base2.jsonc x.jsonc y.jsonc',
  'apply base2.jsonc x.jsonc y.jsonc --json',
  'apply base.jsonc x.jsonc y.jsonc --based-on 1',
  'apply base2.jsonc x.jsonc y.jsonc --change change-2 --based-on 1',
  'apply sliced.jsonc x.jsonc y.jsonc',
  'apply base2.jsonc x.jsonc',
  'status',
  'explain night-desk --service rota',
  'explain night-desk',
  'drain rota-1',
  'drain rota-9',
  'lost rota-2',
  'lost rota-2 --yes',
  'freeze rota-2',
  'rollback 1 --timeout 1',
  'lost rota-2 --yes',
  'apply base.jsonc x.jsonc y.jsonc',
  'rollback 9',
  'history',
  'version --platform 127.0.0.1:1',
] as const;

test('a whole session of an operator', async t => {
  const fleet = await createFleet([
    member('rota-1', 100),
    member('rota-2', 200, 'y'),
  ]);
  let shown = '';
  for (const line of SESSION) {
    const [name, instance] = line.split(' ');
    if (name === 'freeze') fleet.frozen.add(instance);
    else shown += await fleet.run(line);
  }
  const url = new URL('test/golden/cli/session.txt', ROOT);
  t.is(shown, readFileSync(url, 'utf8'));
});

test('a version that no daemon can report is not called in force', async t => {
  const fleet = await createFleet([]);
  const shown = await fleet.run('apply base.jsonc x.jsonc');
  t.regex(shown, /version 1 is accepted; no daemon is registered yet\nexit 0/);
});

test('the process exits with the documented codes', t => {
  const bin = new URL('build/src/bin/vanillaspoolctl.js', ROOT);
  const codes = [
    [
      'check',
      'examples/newsroom/base.jsonc',
      'examples/newsroom/brussels.jsonc',
    ],
    [
      'check',
      'examples/newsroom/brussels.jsonc',
      'examples/newsroom/base.jsonc',
    ],
    ['check', '--unknown', 'base.jsonc'],
    ['check', 'no-such-file.jsonc', 'x.jsonc'],
    ['status'],
    ['status', '--platform', '127.0.0.1:1'],
  ].map(args => {
    const options = {cwd: fileURLToPath(ROOT)};
    const path = fileURLToPath(bin);
    return spawnSync(process.execPath, [path, ...args], options).status;
  });
  const {ok, refused, usage, unreachable} = EXIT;
  t.deepEqual(codes, [ok, refused, usage, usage, usage, unreachable]);
});
