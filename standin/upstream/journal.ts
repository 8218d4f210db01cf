/** State of an execution; only a committed one changed its key. */
export type ExecutionOutcome =
  'running' | 'committed' | 'cancelled' | 'expired' | 'fenced';

/** One line of a journal file: the start or the end of an execution. */
export interface JournalLine {
  readonly number: number;
  readonly execution: Execution;
}

/** Record of a request that an upstream stand-in began to execute. */
export interface Execution {
  /** Request identifier given by the daemon. */
  readonly id: string;
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly key: string;
  readonly idempotencyKey?: string;
  readonly slice?: number;
  readonly epoch?: number;
  /** Wall-clock time of the start in milliseconds. */
  readonly started: number;
  /** Wall-clock time of the end in milliseconds, whatever the outcome. */
  readonly ended?: number;
  /** Wall-clock time of the commit in milliseconds. */
  readonly committed?: number;
  readonly outcome: ExecutionOutcome;
}

/** Maximum executions that one upstream stand-in keeps. */
const MAX_EXECUTIONS = 500_000;

/** The executions of one upstream, in order of their start. */
export interface Journal {
  /** Records the start of an execution and returns its number. */
  readonly begin: (execution: Execution) => number;
  readonly end: (
    number: number,
    outcome: ExecutionOutcome,
    nowMs: number,
  ) => void;
  readonly executions: () => readonly Execution[];
}

/**
 * Creates an empty journal.
 *
 * @param write Called with a line when an execution starts or ends, to persist
 * the journal beyond the process.
 * @throws {RangeError} from `begin` when the journal is full.
 *
 * @example
 * const journal = createJournal();
 * journal.end(journal.begin(execution), 'committed', Date.now());
 */
export function createJournal(
  write: (line: JournalLine) => void = () => {},
): Journal {
  const executions: Execution[] = [];
  return {
    begin: execution => {
      if (executions.length === MAX_EXECUTIONS) {
        throw new RangeError('journal full: too many executions recorded');
      }
      const number = executions.push(execution) - 1;
      write({number, execution});
      return number;
    },
    end: (number, outcome, nowMs) => {
      const committed = outcome === 'committed' ? nowMs : undefined;
      const ended = {...executions[number], outcome, ended: nowMs, committed};
      executions[number] = ended;
      write({number, execution: ended});
    },
    executions: () => executions,
  };
}

/**
 * Reads the executions of a journal file, in order of their start. Ignores an
 * incomplete last line, which a killed process may leave.
 *
 * @example
 * readJournal(readFileSync('rota-display-1.journal', 'utf8')).length;
 */
export function readJournal(text: string): readonly Execution[] {
  const executions: Execution[] = [];
  const completeLines = text.slice(0, text.lastIndexOf('\n') + 1);
  for (const line of completeLines.split('\n')) {
    if (line === '') continue;
    const {number, execution} = JSON.parse(line) as JournalLine;
    executions[number] = execution;
  }
  return executions;
}
