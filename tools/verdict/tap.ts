/** Result of one test, or of a crash, which ava reports in the same form. */
export interface TestResult {
  readonly title: string;
  readonly kind: 'passed' | 'failed' | 'skipped';
  /** Its lines in the output, with the diagnostics. */
  readonly lines: readonly string[];
}

/** Output of `ava --tap`. */
export interface TapOutput {
  readonly results: readonly TestResult[];
  /**
   * Number of failures in the summary, which includes tests without a result;
   * undefined if there is no summary.
   */
  readonly statedFailures?: number;
}

const RESULT = /^(not )?ok \d+ - (.*)$/;
const DIRECTIVE = / # (SKIP|TODO)$/;
const SUMMARY = /^# fail (\d+)$/;

/**
 * Reads the output of `ava --tap`.
 *
 * @example
 * parseTap('ok 1 - a › b\n\n1..1\n# tests 1\n# pass 1\n# fail 0\n').results;
 */
export function parseTap(output: string): TapOutput {
  const results: TestResult[] = [];
  let statedFailures: number | undefined;
  for (const line of output.split(/\r?\n/)) {
    const result = RESULT.exec(line);
    const summary = SUMMARY.exec(line);
    if (result) {
      const [, not, title] = result;
      const isSkipped = !not && DIRECTIVE.test(title);
      const kind = not ? 'failed' : isSkipped ? 'skipped' : 'passed';
      const plainTitle = title.replace(DIRECTIVE, '').trim();
      results.push({title: plainTitle, kind, lines: [line]});
    } else if (summary) {
      statedFailures = Number(summary[1]);
    } else if (/^( {2}|# {3})/.test(line) && results.length > 0) {
      const last = results[results.length - 1];
      results[results.length - 1] = {...last, lines: [...last.lines, line]};
    }
  }
  return {results, statedFailures};
}
