// The part of prom-client that the daemon uses. Its main module also loads the
// push gateway, clusters and default metrics, and with them modules of Node.js.
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
export {default as Registry} from 'prom-client/lib/registry.js';
