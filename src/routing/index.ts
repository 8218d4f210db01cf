export * from './handover.js';
export * from './key.js';
export * from './service.js';
export * from './load.js';
