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

/** A parsed command, ready to run. */
export interface Command {
  readonly isJson: boolean;
  readonly run: () => Promise<Result>;
}

/**
 * Parses a command line. Returns undefined if it requested help, which is then
 * printed. Ends the process if the command line is invalid.
 *
 * @param argv All arguments of the process, including the first two.
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

/**
 * Formats an error and its causes on one line, outermost first. The message of
 * the error has one line for each of them, innermost cause first.
 */
function formatError(error: Error): string {
  return error.message.split('\n').reverse().join(': ');
}
