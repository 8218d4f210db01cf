/** A position in a text file; lines and columns count from 1. */
export interface Position {
  readonly file: string;
  readonly line: number;
  readonly column: number;
}

/** One fault found in a settings file. */
export interface Finding extends Position {
  readonly message: string;
  /** What the author probably meant. */
  readonly hint?: string;
}

/**
 * Creates a finding at a place.
 *
 * @example
 * findingAt({file: 'base.jsonc', line: 3, column: 5}, 'unknown field "slcies"');
 */
export function findingAt(
  position: Position,
  message: string,
  hint?: string,
): Finding {
  const {file, line, column} = position;
  const finding = {file, line, column, message};
  return hint === undefined ? finding : {...finding, hint};
}

/**
 * Formats a finding as `file:line:column: message (hint)`.
 *
 * @example
 * formatFinding({file: 'a.jsonc', line: 1, column: 2, message: 'expected a number'});
 * // 'a.jsonc:1:2: expected a number'
 */
export function formatFinding(finding: Finding): string {
  const {file, line, column, message, hint} = finding;
  const suffix = hint === undefined ? '' : ` (${hint})`;
  return `${file}:${line}:${column}: ${message}${suffix}`;
}

/**
 * Sorts findings by file and position and drops repeated ones.
 *
 * @example
 * sortFindings([finding, finding]).length; // 1
 */
export function sortFindings(findings: readonly Finding[]): readonly Finding[] {
  const unique = new Map(findings.map(f => [formatFinding(f), f]));
  return [...unique.values()].sort(compareFindings);
}

function compareFindings(a: Finding, b: Finding): number {
  if (a.file !== b.file) return a.file < b.file ? -1 : 1;
  return a.line - b.line || a.column - b.column;
}
