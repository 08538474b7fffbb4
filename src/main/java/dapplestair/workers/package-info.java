/** Machines and their workers: reports, commands, fencing and leases. */
package dapplestair.workers;
