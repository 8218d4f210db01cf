/** How an execution ended; only a committed one changed the state of its key. */
export type ExecutionOutcome =
  'running' | 'committed' | 'cancelled' | 'expired' | 'fenced';

/** One line of a journal file: an execution as it began or ended. */
export interface JournalLine {
  readonly number: number;
  readonly execution: Execution;
}

/** What an upstream stand-in records of one request that it began to execute. */
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
  /** Wall-clock time in milliseconds. */
  readonly started: number;
  /** Wall-clock time of the end in milliseconds, whatever the outcome. */
  readonly ended?: number;
  /** Wall-clock time of the commit in milliseconds. */
  readonly committed?: number;
  readonly outcome: ExecutionOutcome;
}

/** Executions kept by one upstream stand-in. */
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
 * @param write Takes a line whenever an execution begins or ends, so that the
 * record outlives the process.
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
        throw new RangeError('the journal is full');
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
 * Reads the executions of a journal file, in order of their start. An
 * incomplete last line, left by a process that was killed, is passed over.
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
