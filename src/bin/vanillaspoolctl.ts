#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {
  EXIT,
  SYSTEM_CLOCK,
  NO_PROGRESS,
  UsageError,
  addressOption,
  createControlClient,
  createProgress,
  parseCommand,
  textOption,
  type Context,
  type Environment,
  type Options,
  type Result,
  type ProgressOutput,
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

const PROGRESS_OUTPUT: ProgressOutput = {
  write: text => process.stdout.write(text),
  isTerminal: process.stdout.isTTY,
};

/** Stands for the platform where the command line names none. */
const MISSING_PLATFORM: ObjectStore = {
  get: rejectMissingPlatform,
  list: rejectMissingPlatform,
  put: rejectMissingPlatform,
  delete: rejectMissingPlatform,
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
      platform: client ?? MISSING_PLATFORM,
      control: createControlClient(),
      clock: SYSTEM_CLOCK,
      log: createLog('info', 'vanillaspoolctl'),
      progress: options.json ? NO_PROGRESS : createProgress(PROGRESS_OUTPUT),
      author: textOption(options, 'author') ?? process.env.USER ?? 'unknown',
      readText,
      newChangeId: randomUUID,
      ...(daemon && {daemon}),
    });
  } finally {
    await client?.close();
  }
}

async function rejectMissingPlatform(): Promise<never> {
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
