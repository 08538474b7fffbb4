/** Renting and returning machines, and their state in the cloud's lists. */
package dapplestair.fleet;
