#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {
  EXIT,
  PROCESS_PACE,
  SILENT_PROGRESS,
  UsageError,
  addressOption,
  createControl,
  createProgress,
  parseCommand,
  textOption,
  type Context,
  type Environment,
  type Options,
  type Result,
  type Screen,
} from '../cli/index.js';
import {
  UnavailableError,
  createStoreClient,
  type ObjectStore,
} from '../store/index.js';
import {createLog} from '../telemetry/index.js';

const PACKAGE_FILE = new URL('../../../package.json', import.meta.url);

const environment: Environment = {
  version: readVersion(),
  readText,
  withContext,
};

const SCREEN: Screen = {
  write: text => process.stdout.write(text),
  isTerminal: process.stdout.isTTY,
};

/** Stands for the platform where the command line names none. */
const NO_PLATFORM: ObjectStore = {
  get: refuse,
  list: refuse,
  put: refuse,
  delete: refuse,
  watch: () => {
    throw new UnavailableError('--platform is missing');
  },
};

// The parser ends the process with code 1 when it cannot parse the arguments.
const onParseExit = () => {
  if (process.exitCode === EXIT.refused) process.exitCode = EXIT.usage;
};
process.once('exit', onParseExit);
const command = parseCommand(environment, process.argv);
process.off('exit', onParseExit);

if (command) {
  const result = await command.run();
  print(result, command.isJson);
  process.exitCode = result.code;
}

function print({code, lines, report}: Result, isJson: boolean): void {
  const text = isJson ? JSON.stringify(report) : lines.join('\n');
  const stream = code === EXIT.ok || isJson ? process.stdout : process.stderr;
  stream.write(text + '\n');
}

async function withContext(
  options: Options,
  run: (context: Context) => Promise<Result>,
): Promise<Result> {
  const address = addressOption(options, 'platform');
  const daemon = addressOption(options, 'daemon');
  if (!address && !daemon) throw new UsageError('--platform is missing');
  const client = address && createStoreClient(address);
  try {
    return await run({
      platform: client ?? NO_PLATFORM,
      control: createControl(),
      pace: PROCESS_PACE,
      log: createLog('info', 'vanillaspoolctl'),
      progress: options.json ? SILENT_PROGRESS : createProgress(SCREEN),
      author: textOption(options, 'author') ?? process.env.USER ?? 'unknown',
      readText,
      newChange: randomUUID,
      ...(daemon && {daemon}),
    });
  } finally {
    await client?.close();
  }
}

async function refuse(): Promise<never> {
  throw new UnavailableError('--platform is missing');
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    throw new UsageError(`cannot read ${file}`, {cause});
  }
}

function readVersion(): string {
  const text = readFileSync(PACKAGE_FILE, 'utf8');
  return (JSON.parse(text) as {readonly version: string}).version;
}
