import {readFileSync} from 'node:fs';
import sade from 'sade';
import {DAEMON_EVENTS, startDaemon} from '../daemon/index.js';
import type {Daemon} from '../daemon/index.js';
import {formatFinding, loadSettings} from '../settings/index.js';
import type {Settings} from '../settings/index.js';
import {createLog} from '../telemetry/index.js';
import type {Log} from '../telemetry/index.js';

/** Exit codes of the binary. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

function readSettings(file: string): Settings {
  const log = createLog('info', 'vanillaspoold');
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    log(DAEMON_EVENTS.settingsRejected, {file, message: String(error)});
    process.exit(EXIT_USAGE);
  }
  const loaded = loadSettings(file, text);
  if (loaded.kind === 'loaded') return loaded.settings;
  for (const finding of loaded.findings) {
    process.stderr.write(formatFinding(finding) + '\n');
  }
  const findings = loaded.findings.length;
  log(DAEMON_EVENTS.settingsRejected, {file, findings});
  process.exit(EXIT_USAGE);
}

async function start(settings: Settings, log: Log): Promise<Daemon> {
  try {
    return await startDaemon(settings, log);
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    const isInUse = code === 'EADDRINUSE';
    log(isInUse ? DAEMON_EVENTS.addressInUse : DAEMON_EVENTS.failed, {message});
    process.exit(EXIT_FAILED);
  }
}

function handleSignals(daemon: Daemon, settings: Settings, log: Log): void {
  let signals = 0;
  const closeNow = () => {
    log(DAEMON_EVENTS.shutdownForced);
    void daemon.close().finally(() => process.exit(0));
  };
  const stop = () => {
    signals++;
    if (signals > 1) return closeNow();
    log(DAEMON_EVENTS.stopping);
    setTimeout(closeNow, settings.shutdownMs).unref();
    void daemon.drain().finally(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

async function run(options: {readonly settings?: string}): Promise<void> {
  if (!options.settings) {
    process.stderr.write('vanillaspoold: --settings FILE is missing\n');
    process.exit(EXIT_USAGE);
  }
  const settings = readSettings(options.settings);
  const log = createLog(settings.logLevel, settings.instance);
  const daemon = await start(settings, log);
  handleSignals(daemon, settings, log);
  const error = await daemon.failed;
  log(DAEMON_EVENTS.failed, {message: error.message});
  await daemon.close();
  process.exit(EXIT_FAILED);
}

sade('vanillaspoold')
  .version('0.1.0')
  .command('run', 'Run the daemon beside an upstream')
  .option('--settings', 'File with the settings, JSON with comments')
  .example('run --settings /etc/vanillaspool/rota-display-1.jsonc')
  .action(run)
  .parse(process.argv);
