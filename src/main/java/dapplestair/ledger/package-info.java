/** Keeps all jobs and attempts, and checks every launch against the rules. */
package dapplestair.ledger;
