import {PlatformError} from '../store/index.js';
import {StoredError} from '../settings/index.js';
import {ControlError} from './control.js';
import {FLAG_OPTIONS, TEXT_OPTIONS, type Options} from './arguments.js';
import {createProgram, type Environment} from './program.js';
import {
  EXIT,
  UsageError,
  failure,
  type ExitCode,
  type Result,
} from './result.js';

/** A command that the command line names, ready to run. */
export interface Command {
  readonly isJson: boolean;
  readonly run: () => Promise<Result>;
}

/**
 * Parses a command line. Undefined if it only asked for help, which is then
 * printed. A command line that cannot be parsed ends the process.
 *
 * @param argv The arguments of the process, the first two included.
 *
 * @example
 * const command = parseCommand(environment, process.argv);
 * const result = await command?.run();
 */
export function parseCommand(
  environment: Environment,
  argv: readonly string[],
): Command | undefined {
  const parsed = createProgram(environment).parse([...argv], {
    lazy: true,
    string: [...TEXT_OPTIONS],
    boolean: [...FLAG_OPTIONS],
    unknown: flag => `unknown option ${flag}`,
  });
  if (!parsed) return undefined;
  const {handler, args} = parsed;
  const options = args.at(-1) as unknown as Options;
  const run = async () => (await handler(...args)) as Result;
  return {isJson: options.json === true, run: () => runCatching(run)};
}

async function runCatching(run: () => Promise<Result>): Promise<Result> {
  try {
    return await run();
  } catch (error) {
    const code = exitCodeOf(error);
    if (code === undefined) throw error;
    return failure(code, formatError(error as Error));
  }
}

function exitCodeOf(error: unknown): ExitCode | undefined {
  if (error instanceof UsageError) return EXIT.usage;
  if (error instanceof StoredError) return EXIT.refused;
  if (error instanceof PlatformError) return EXIT.unreachable;
  if (error instanceof ControlError) return EXIT.unreachable;
  return undefined;
}

/** The message of an error begins with those of its causes, line by line. */
function formatError(error: Error): string {
  return error.message.split('\n').reverse().join(': ');
}
