/**
 * Recognises requests that end the instances that run them, and keeps them from
 * further instances.
 *
 * @module
 */

export * from './answers.js';
export * from './events.js';
export * from './fingerprint.js';
export * from './message.js';
export * from './quarantine.js';
export * from './runs.js';
export * from './state.js';
export * from './stored.js';
