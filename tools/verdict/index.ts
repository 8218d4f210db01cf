/**
 * Verdict of `npm test` and CI on a run of all tests, with the known failures
 * of `KNOWN-RED.txt`.
 *
 * @module
 */

export * from './known-failures.js';
export * from './tap.js';
export * from './verdict.js';
