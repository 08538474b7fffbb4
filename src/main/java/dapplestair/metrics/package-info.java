/** Measurements of the controller, summarised in the log and exposed to Prometheus. */
package dapplestair.metrics;
