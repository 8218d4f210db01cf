import sade, {type Sade} from 'sade';
import {textOption, wholeNumber, type Options} from './arguments.js';
import {capacity} from './capacity.js';
import {
  apply,
  check,
  diff,
  rollback,
  type ChangeOptions,
  type Files,
} from './configure.js';
import type {Context} from './context.js';
import {declareLost, drain, explain, status} from './fleet.js';
import {history, readCurrent} from './history.js';
import {EXIT, UsageError, type Result} from './result.js';
import {quarantine} from './quarantine.js';
import {ranges} from './ranges.js';
import {trace} from './trace.js';

/** Default time limit until a version is in force, in seconds. */
const TIMEOUT_DEFAULT_S = 30;

/** Path of standard input. */
const STANDARD_INPUT = '/dev/stdin';

/** Default number of history entries to show. */
const HISTORY_LIMIT_DEFAULT = 20;

/** Dependencies of the command-line program. */
export interface Environment {
  readonly version: string;
  readonly readText: (file: string) => string;
  /**
   * Runs a command with a new context and closes its connections afterwards.
   */
  readonly withContext: (
    options: Options,
    run: (context: Context) => Promise<Result>,
  ) => Promise<Result>;
}

/**
 * Creates the command-line parser of `vanillaspoolctl`. The handler of each
 * command returns its result.
 *
 * @example
 * const {handler, args} = createProgram(environment).parse(argv, {lazy: true});
 * const result = await handler(...args);
 */
export function createProgram(environment: Environment): Sade {
  const program = sade('vanillaspoolctl');
  program
    .version(environment.version)
    .option('--json', 'Print one JSON object instead of lines')
    .option('--platform', 'Address of the platform, host:port by IP number')
    .option('--daemon', 'Control address of a daemon that provides the members')
    .option('--author', 'Name that is recorded with a change');
  addConfigurationCommands(program, environment);
  addHistoryCommands(program, environment);
  addFleetCommands(program, environment);
  addRangesCommand(program, environment);
  addQuarantineCommand(program, environment);
  addLogCommands(program, environment);
  addVersionCommand(program, environment);
  return program;
}

function addConfigurationCommands(
  program: Sade,
  {readText, withContext}: Environment,
): void {
  program
    .command('check <base> [overlay]')
    .describe('Check a base file and its overlays without the platform.')
    .example('check base.jsonc brussels.jsonc')
    .action((base: string, overlay: string | undefined, options: Options) =>
      check(filesOf(base, overlay, options), readText),
    );
  program
    .command('diff <base> [overlay]')
    .describe('Show the changes that applying the files would make.')
    .example('diff base.jsonc brussels.jsonc --platform 127.0.0.1:7000')
    .action((base: string, overlay: string | undefined, options: Options) =>
      withContext(options, context =>
        diff(context, filesOf(base, overlay, options)),
      ),
    );
  const applyCommand = program
    .command('apply <base> [overlay]')
    .describe('Apply the files and wait until every daemon reports them.')
    .example('apply base.jsonc brussels.jsonc --platform 127.0.0.1:7000');
  addChangeOptions(applyCommand).action(
    (base: string, overlay: string | undefined, options: Options) =>
      withContext(options, context =>
        apply(context, filesOf(base, overlay, options), changeOptions(options)),
      ),
  );
}

function addHistoryCommands(program: Sade, {withContext}: Environment): void {
  program
    .command('history')
    .describe('List the accepted configurations, newest first.')
    .option('--limit', `Entries to show; ${HISTORY_LIMIT_DEFAULT} if absent`)
    .example('history --limit 5 --platform 127.0.0.1:7000')
    .action((options: Options) =>
      withContext(options, context =>
        history(context, numberOption(options, 'limit', HISTORY_LIMIT_DEFAULT)),
      ),
    );
  const rollbackCommand = program
    .command('rollback <version>')
    .describe('Restore an earlier configuration as a new version.')
    .example('rollback 12 --platform 127.0.0.1:7000');
  addChangeOptions(rollbackCommand).action((text: string, options: Options) =>
    withContext(options, context =>
      rollback(context, wholeNumber(text, 'version'), changeOptions(options)),
    ),
  );
}

function addFleetCommands(program: Sade, {withContext}: Environment): void {
  program
    .command('status')
    .describe('Show the status that every daemon reports.')
    .example('status --platform 127.0.0.1:7000')
    .example('status --daemon 127.0.0.1:8103')
    .action((options: Options) => withContext(options, status));
  program
    .command('explain <key>')
    .describe('Explain which instance serves a key and why.')
    .option('--service', 'Name of the service')
    .example(
      'explain night-desk --service rota-display --platform 127.0.0.1:7000',
    )
    .action((key: string, options: Options) =>
      withContext(options, context =>
        explain(context, requiredText(options, 'service'), key),
      ),
    );
  program
    .command('drain <instance>')
    .describe('Move the keys of an instance to others and finish its requests.')
    .example('drain rota-display-1 --platform 127.0.0.1:7000')
    .action((instance: string, options: Options) =>
      withContext(options, context => drain(context, instance)),
    );
  program
    .command('lost <instance>')
    .describe('Declare that an instance is switched off permanently.')
    .option('--yes', 'Confirm that the instance is switched off')
    .example('lost rota-display-1 --yes --platform 127.0.0.1:7000')
    .action((instance: string, options: Options) => {
      requireConfirmation(instance, options);
      return withContext(options, context => declareLost(context, instance));
    });
}

function addRangesCommand(program: Sade, {withContext}: Environment): void {
  program
    .command('ranges <service>')
    .describe('Show who owns the keys of a service on the platform.')
    .example('ranges stock --daemon 10.1.0.8:7620')
    .action((service: string, options: Options) =>
      withContext(options, context => ranges(context, service)),
    );
}

function addQuarantineCommand(program: Sade, {withContext}: Environment): void {
  program
    .command('quarantine')
    .describe('List requests that ended instances, and release one of them.')
    .option('--release', 'Fingerprint of a request to release')
    .example('quarantine --daemon 10.1.0.8:7620')
    .example('quarantine --release wq0Zs1 --daemon 10.1.0.8:7620')
    .action((options: Options) =>
      withContext(options, context =>
        quarantine(context, textOption(options, 'release')),
      ),
    );
}

function addLogCommands(program: Sade, {readText}: Environment): void {
  program
    .command('capacity [file]')
    .describe('Account for the time of the slots; - reads standard input.')
    .example('capacity fleet.log')
    .action((file: string | undefined) =>
      capacity(readText(file && file !== '-' ? file : STANDARD_INPUT)),
    );
  program
    .command('trace <request> [file]')
    .describe('Print the log lines of a request; - reads standard input.')
    .example('trace 9c41d07be2a35f68 fleet.log')
    .action((request: string, file: string | undefined) =>
      trace(readText(file && file !== '-' ? file : STANDARD_INPUT), request),
    );
}

function addVersionCommand(program: Sade, environment: Environment): void {
  program
    .command('version')
    .describe('Show the version of this program and of the configuration.')
    .example('version')
    .example('version --platform 127.0.0.1:7000')
    .action((options: Options) => showVersion(environment, options));
}

async function showVersion(
  {version, withContext}: Environment,
  options: Options,
): Promise<Result> {
  const lines = [`vanillaspoolctl ${version}`];
  if (textOption(options, 'platform') === undefined) {
    return {code: EXIT.ok, lines, report: {version}};
  }
  return withContext(options, async ({platform}) => {
    const configurationVersion = (await readCurrent(platform))?.version ?? 0;
    return {
      code: EXIT.ok,
      lines: [...lines, `configuration ${configurationVersion}`],
      report: {version, configurationVersion},
    };
  });
}

function addChangeOptions(program: Sade): Sade {
  return program
    .option(
      '--timeout',
      `Seconds until the change is in force; ${TIMEOUT_DEFAULT_S} if absent`,
    )
    .option('--remove-sites', 'Remove the sites that have no overlay')
    .option('--based-on', 'Version that the change is based on')
    .option('--change', 'Identifier of an earlier attempt of the same change');
}

function changeOptions(options: Options): ChangeOptions {
  const basedOn = textOption(options, 'based-on');
  const seconds = numberOption(options, 'timeout', TIMEOUT_DEFAULT_S);
  return {
    timeoutMs: seconds * 1000,
    removesSites: options['remove-sites'] === true,
    change: textOption(options, 'change'),
    basedOn:
      basedOn === undefined ? undefined : wholeNumber(basedOn, '--based-on'),
  };
}

function filesOf(
  base: string,
  overlay: string | undefined,
  options: Options,
): Files {
  const overlays = overlay === undefined ? [] : [overlay, ...options._];
  return {base, overlays};
}

function numberOption(
  options: Options,
  name: string,
  fallback: number,
): number {
  const text = textOption(options, name);
  return text === undefined ? fallback : wholeNumber(text, `--${name}`);
}

function requiredText(options: Options, name: string): string {
  const text = textOption(options, name);
  if (text !== undefined) return text;
  throw new UsageError(`--${name} is missing`);
}

function requireConfirmation(instance: string, options: Options): void {
  if (options.yes === true) return;
  throw new UsageError(
    `if ${instance} still runs, a key may get two owners; confirm with --yes` +
      ' that it is switched off for good',
  );
}
