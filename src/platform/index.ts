export * from './budget.js';
export * from './client.js';
export * from './counted.js';
export * from './errors.js';
export * from './gone.js';
export * from './keys.js';
export * from './platform.js';
export * from './update.js';
