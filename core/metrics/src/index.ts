/** Counters, gauges and latency histograms with their text exposition. */
export { MetricsRegistry } from './metricsRegistry.js'
