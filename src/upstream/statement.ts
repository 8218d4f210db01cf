/** What an instance says of itself in the head of an answer. */
export interface Statement {
  /**
   * Requests a second that the instance takes from all daemons together;
   * undefined where the answer names no limit.
   */
  readonly limit?: number;
  /** The instance is about to end. */
  readonly isLeaving: boolean;
  /** Values that can't be read, each with the name of its header. */
  readonly problems: readonly string[];
}

/** A statement without a word. */
export const EMPTY_STATEMENT: Statement = {isLeaving: false, problems: []};

/** Names of the headers of a statement, in lower case. */
export interface StatementHeaders {
  readonly limit: string;
  readonly leaving: string;
}

const DECIMAL = /^(\d{1,12}(\.\d{0,12})?|\.\d{1,12})$/;

const FLAG_VALUES: ReadonlyMap<string, boolean> = new Map([
  ['1', true],
  ['0', false],
]);

/**
 * Reads what an instance says of itself. A value that can't be read, such as one
 * of two headers with the same name, is reported and states nothing.
 *
 * @param values Values of headers by their name in lower case; the values of
 *     headers with the same name are joined by commas.
 *
 * @example
 * const names = {limit: 'server-limit', leaving: 'server-leaving'};
 * readStatement(new Map([['server-limit', '18.1']]), names).limit; // 18.1
 */
export function parseStatement(
  values: ReadonlyMap<string, string>,
  names: StatementHeaders,
): Statement {
  const limitText = values.get(names.limit)?.trim();
  const leavingText = values.get(names.leaving)?.trim();
  if (limitText === undefined && leavingText === undefined)
    return EMPTY_STATEMENT;
  const problems: string[] = [];
  let limit: number | undefined;
  if (limitText !== undefined) {
    if (DECIMAL.test(limitText)) limit = Number(limitText);
    else problems.push(`${names.limit}: ${limitText}`);
  }
  const isLeaving = FLAG_VALUES.get(leavingText ?? '0');
  if (isLeaving === undefined) {
    problems.push(`${names.leaving}: ${leavingText}`);
  }
  return {limit, isLeaving: isLeaving ?? false, problems};
}
