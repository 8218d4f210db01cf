export * from './calls.js';
export * from './holder.js';
export * from './memory.js';
export * from './server.js';
export * from './store.js';
