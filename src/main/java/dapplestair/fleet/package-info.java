/** Machines: their types, renting, returning, and what the cloud says of them. */
package dapplestair.fleet;
