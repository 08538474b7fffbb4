/**
 * Cancellations that were confirmed to users: how controllers exchange them, how their tasks are
 * ended, and when a controller must not renew workers' leases.
 */
package dapplestair.cancellations;
