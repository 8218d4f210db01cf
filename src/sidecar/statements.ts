import type {LocalInstance} from '../relay/index.js';
import type {Log} from '../telemetry/index.js';
import {
  createStatementTracker,
  type ReceivedStatement,
  type StatementTracker,
} from '../upstream/index.js';
import {SIDECAR_EVENTS} from './events.js';

/** One incarnation of the local instance: a run of its process. */
export type InstanceIncarnation = Pick<LocalInstance, 'id' | 'born'>;

/** Environment in which the statements of the local instance are processed. */
export interface InstanceStatementsContext {
  readonly clock: () => number;
  /** Returns the local instance; undefined while none is known. */
  readonly incarnation: () => InstanceIncarnation | undefined;
  /** Called with each change of the rate limit; undefined means no limit. */
  readonly onLimitChange: (perSecond: number | undefined) => void;
  /** Called each time that the instance announces its shutdown. */
  readonly onLeaving: () => void;
  readonly log: Log;
}

/**
 * Tracks what the local instance states about itself in its responses: its rate
 * limit and its shutdown.
 */
export interface InstanceStatements extends Pick<
  StatementTracker,
  'begin' | 'limit'
> {
  /**
   * Records the statement of a response; ignores those of other incarnations.
   */
  readonly record: (
    from: InstanceIncarnation,
    answer: ReceivedStatement,
  ) => void;
  /** Records a rate limit that the instance has announced to another daemon. */
  readonly recordForwardedLimit: (upstream: string, perSecond: number) => void;
}

/**
 * Creates a tracker of the statements of the local instance.
 *
 * @example
 * const statements = createInstanceStatements(context);
 * statements.record(local, {statement, sentAt, ran: true});
 */
export function createInstanceStatements(
  context: InstanceStatementsContext,
): InstanceStatements {
  const {clock, incarnation, onLimitChange, onLeaving, log} = context;
  const instanceId = () => incarnation()?.id;
  const statements = createStatementTracker({
    clock,
    onLimitChange: perSecond => {
      onLimitChange(perSecond);
      const fields = {upstream: instanceId(), perSecond};
      const {limitRemoved: limitEnded, limitChanged: limitNamed} =
        SIDECAR_EVENTS;
      log(perSecond === undefined ? limitEnded : limitNamed, fields);
    },
    onLeaving: onLeaving,
    onInvalidValue: message => {
      const fields = {upstream: instanceId(), message};
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
      if (id === instanceId()) statements.adoptLimit(perSecond);
    },
    begin: statements.begin,
    limit: statements.limit,
  };
}
