/** Rate limit and leaving flag that an instance reports in response headers. */
export interface Statement {
  /**
   * Requests per second that the instance accepts from all daemons together;
   * undefined if the response has no limit.
   */
  readonly limit?: number;
  /** The instance is about to shut down. */
  readonly isLeaving: boolean;
  /** Invalid header values, each preceded by the name of its header. */
  readonly problems: readonly string[];
}

/** The statement of a response without statement headers. */
export const EMPTY_STATEMENT: Statement = {isLeaving: false, problems: []};

/** Names of the statement headers, in lower case. */
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
 * Parses the statement headers of a response. An invalid value, such as that of a
 * repeated header, is added to `problems` and otherwise ignored.
 *
 * @param values Header values by lower-case name. Values of headers with the same
 *     name are joined by commas.
 *
 * @example
 * const names = {limit: 'server-limit', leaving: 'server-leaving'};
 * parseStatement(new Map([['server-limit', '18.1']]), names).limit; // 18.1
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
