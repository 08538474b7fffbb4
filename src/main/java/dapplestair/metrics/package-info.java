/** What the controller measures of itself, summarised in the log. */
package dapplestair.metrics;
