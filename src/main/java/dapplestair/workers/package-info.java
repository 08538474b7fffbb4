/** Machines at work: their reports, the orders sent to them, fencing and leases. */
package dapplestair.workers;
