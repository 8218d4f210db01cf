export * from './errors.js';
export * from './keys.js';
export * from './platform.js';
export * from './put.js';
