export * from './configuration.js';
export * from './daemon.js';
export * from './finding.js';
export * from './merge.js';
export * from './schema.js';
export * from './suggest.js';
export * from './tree.js';
