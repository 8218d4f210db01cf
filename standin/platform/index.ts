export * from './calls.js';
export * from './observable.js';
export * from './memory.js';
export * from './server.js';
export * from './store.js';
