import {readFileSync} from 'node:fs';
import {createMachine, getInitialSnapshot, getNextSnapshot} from 'xstate';

/** A state chart as written in its JSON file: flat states with transitions. */
export interface ChartFile {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<
    Record<string, {readonly on?: Readonly<Record<string, string>>}>
  >;
}

/** An interpreted state chart. */
export interface Chart {
  readonly id: string;
  readonly initial: string;
  /**
   * Returns the state after an event, or the same state when the chart has no
   * transition for the event.
   *
   * @throws {RangeError} when the state is not one of the chart.
   */
  readonly next: (state: string, event: string) => string;
  /** Tells whether the chart has a transition for the event in this state. */
  readonly accepts: (state: string, event: string) => boolean;
}

/**
 * Interprets a chart file. Every transition is computed once, when the chart is
 * loaded, so that `next` is a table look-up.
 *
 * @throws {RangeError} when a transition names a state that does not exist.
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
    if (!found) throw new RangeError(`${file.id} has no state ${state}`);
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
 * Reads and interprets a chart file that lies beside a module.
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
        throw new RangeError(`${file.id}: ${name} leads to unknown ${target}`);
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
