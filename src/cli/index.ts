/**
 * Commands of `vanillaspoolctl`, the command-line tool for operators.
 *
 * @module
 */

export * from './arguments.js';
export * from './configure.js';
export * from './context.js';
export * from './control.js';
export * from './events.js';
export * from './fleet.js';
export * from './history.js';
export * from './members.js';
export * from './clock.js';
export * from './program.js';
export * from './progress.js';
export * from './quarantine.js';
export * from './ranges.js';
export * from './result.js';
export * from './run.js';
export * from './submit.js';
export * from './table.js';
export * from './wait.js';
