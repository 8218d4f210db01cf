import ModernError from 'modern-errors';

/** Exit codes of `vanillaspoolctl`. */
export const EXIT = {
  ok: 0,
  /** There are findings, or the request was refused. */
  refused: 1,
  usage: 2,
  /** The platform or the requested daemon cannot be reached. */
  unreachable: 3,
  /** Not every daemon reported the version within the time limit. */
  notInForce: 4,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT)[keyof typeof EXIT];

/** Result of a command: text lines, and an object for `--json`. */
export interface Result {
  readonly code: ExitCode;
  readonly lines: readonly string[];
  readonly report: object;
}

/** Error for an invalid command line. */
export const UsageError = ModernError.subclass('UsageError');

/**
 * Creates the result of a command that failed.
 *
 * @example
 * failure(EXIT.refused, 'no instance is named rota-display-9').code; // 1
 */
export function failure(code: ExitCode, message: string): Result {
  return {code, lines: [message], report: {error: message}};
}
