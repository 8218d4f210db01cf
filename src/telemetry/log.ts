import log from 'loglevel';

/** Severity of an event. */
export type Level = 'debug' | 'info' | 'warn' | 'error';

/** A kind of event. Its number never changes and is never reused. */
export interface EventKind {
  readonly number: number;
  readonly level: Level;
  readonly message: string;
  /** Its rate is bounded by a timer, so that no line of it is dropped for it. */
  readonly isPeriodic?: boolean;
}

/** Values that describe one occurrence of an event. */
export type EventFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes one occurrence of an event. */
export type Log = (kind: EventKind, fields?: EventFields) => void;

/**
 * Creates a log that writes one JSON line for each event at or above a level.
 *
 * @param write Receives each formatted line; writes to standard error by default.
 *
 * @example
 * const log = createLog('info', 'rota-display-1');
 * log(DAEMON_EVENTS.started, {callers: '127.0.0.1:8080'});
 */
export function createLog(
  level: Level,
  instance: string,
  write?: (line: string) => void,
): Log {
  const logger = log.getLogger(`vanillaspool ${instance}`);
  const sink = write ?? ((line: string) => process.stderr.write(line + '\n'));
  logger.methodFactory = () => sink;
  logger.setLevel(level, false);
  return (kind, fields) => {
    const time = new Date().toISOString();
    const {number, message} = kind;
    const line = {time, level: kind.level, event: number, message, instance};
    logger[kind.level](JSON.stringify({...line, ...fields}));
  };
}
