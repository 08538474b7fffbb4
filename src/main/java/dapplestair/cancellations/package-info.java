/**
 * Cancellations that were confirmed to users: who knows of them, who ends them, who may not renew.
 */
package dapplestair.cancellations;
