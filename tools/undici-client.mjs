// The part of undici that the daemon uses. Its main module also loads fetch,
// WebSocket and caches, which would take most of the time of a start.
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
