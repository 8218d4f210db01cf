import {readFileSync} from 'node:fs';
import {createMachine, getInitialSnapshot, getNextSnapshot} from 'xstate';

/**
 * A state chart as stored in its JSON file: flat states with transitions by
 * event.
 */
export interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, {readonly on?: Readonly<Record<string, string>>}>
  >;
}

/** A state chart with a precomputed transition table. */
export interface Chart {
  readonly id: string;
  readonly initial: string;
  /**
   * Returns the state after an event, or the same state if it has no transition
   * for the event.
   *
   * @throws {RangeError} when the chart has no such state.
   */
  readonly next: (state: string, event: string) => string;
  /** Returns whether the state has a transition for the event. */
  readonly accepts: (state: string, event: string) => boolean;
}

/**
 * Creates a state chart from the contents of its file. All transitions are
 * computed here, so `next` is a table lookup.
 *
 * @throws {RangeError} when a transition targets a state that does not exist.
 *
 * @example
 * const chart = loadChart({id: 'door', initial: 'shut', states: {
 *   shut: {on: {OPEN: 'open'}}, open: {on: {SHUT: 'shut'}}}});
 * chart.next('shut', 'OPEN'); // 'open'
 */
export function loadChart(file: ChartFile): Chart {
  checkTargets(file);
  const table = transitionTable(file);
  const rowOf = (state: string) => {
    const found = table.get(state);
    if (!found)
      throw new RangeError(`state chart ${file.id} has no state ${state}`);
    return found;
  };
  return {
    id: file.id,
    initial: file.initial,
    next: (state, event) => rowOf(state).get(event) ?? state,
    accepts: (state, event) => rowOf(state).has(event),
  };
}

/**
 * Reads a chart file and creates its state chart. The file is located relative
 * to a module.
 *
 * @example
 * const chart = readChart(new URL('./charts/term.json', import.meta.url));
 */
export function readChart(url: URL): Chart {
  return loadChart(JSON.parse(readFileSync(url, 'utf8')) as ChartFile);
}

function checkTargets(file: ChartFile): void {
  for (const [name, state] of Object.entries(file.states)) {
    for (const target of Object.values(state.on ?? {})) {
      if (!(target in file.states)) {
        throw new RangeError(
          `state chart ${file.id}: state ${name} has a transition to the unknown state ${target}`,
        );
      }
    }
  }
}

function transitionTable(
  file: ChartFile,
): ReadonlyMap<string, ReadonlyMap<string, string>> {
  const machine = createMachine({
    id: file.id,
    initial: file.initial,
    states: structuredClone(file.states) as Record<string, object>,
  });
  const initial = getInitialSnapshot(machine);
  const table = new Map<string, ReadonlyMap<string, string>>();
  for (const [name, state] of Object.entries(file.states)) {
    const from = machine.resolveState({value: name, context: initial.context});
    const row = new Map<string, string>();
    for (const event of Object.keys(state.on ?? {})) {
      const next = getNextSnapshot(machine, from, {type: event});
      row.set(event, String(next.value));
    }
    table.set(name, row);
  }
  return table;
}
