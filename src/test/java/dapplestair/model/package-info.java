/**
 * An explicit-state model of launch, halt and clear. It explores every interleaving within small
 * bounds, and uses the product's own rules for fencing tokens and proofs of absence.
 */
package dapplestair.model;
