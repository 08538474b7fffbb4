/** Runs a controller on one machine, with an emulated state service, cloud and workers. */
package dapplestair.daemon;
