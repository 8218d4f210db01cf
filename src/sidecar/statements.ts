import type {LocalInstance} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';
import {
  createStatementTracker,
  type ReceivedStatement,
  type StatementTracker,
} from '../upstream/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** A life of an instance beside a daemon. */
export type InstanceIncarnation = Pick<LocalInstance, 'id' | 'born'>;

/** What is done with the statements of the instance beside a daemon. */
export interface InstanceStatementsContext {
  readonly clock: () => number;
  /** The instance beside; undefined while none is known. */
  readonly incarnation: () => InstanceIncarnation | undefined;
  /** Told of each change of the limit; undefined where there is none. */
  readonly onLimitChange: (perSecond: number | undefined) => void;
  /** Told each time that the instance says that it is about to end. */
  readonly onLeaving: () => void;
  readonly log: Log;
}

/** What the instance beside a daemon has said of itself in its answers. */
export interface InstanceStatements extends Pick<
  StatementTracker,
  'begin' | 'limit'
> {
  /** Takes what an answer says; one of another life is passed over. */
  readonly record: (
    from: InstanceIncarnation,
    answer: ReceivedStatement,
  ) => void;
  /** Takes a limit that an instance has named to another daemon. */
  readonly recordForwardedLimit: (upstream: string, perSecond: number) => void;
}

/**
 * Creates the memory of what the instance beside a daemon says of itself.
 *
 * @example
 * const statements = createOwnStatements(context);
 * statements.hear(local, {statement, sentAt, ran: true});
 */
export function createInstanceStatements(
  context: InstanceStatementsContext,
): InstanceStatements {
  const {
    clock,
    incarnation: incarnation,
    onLimitChange: limited,
    onLeaving: leaving,
    log,
  } = context;
  const upstream = () => incarnation()?.id;
  const statements = createStatementTracker({
    clock,
    onLimitChange: perSecond => {
      limited(perSecond);
      const fields = {upstream: upstream(), perSecond};
      const {limitRemoved: limitEnded, limitChanged: limitNamed} =
        SIDECAR_EVENTS;
      log(perSecond === undefined ? limitEnded : limitNamed, fields);
    },
    onLeaving: leaving,
    onInvalidValue: message => {
      const fields = {upstream: upstream(), message};
      log(SIDECAR_EVENTS.statementMalformed, fields);
    },
  });
  return {
    record: (from, answer) => {
      const current = incarnation();
      if (current?.id === from.id && current.born === from.born) {
        statements.record(answer);
      }
    },
    recordForwardedLimit: (id, perSecond) => {
      if (id === upstream()) statements.adoptLimit(perSecond);
    },
    begin: statements.begin,
    limit: statements.limit,
  };
}
