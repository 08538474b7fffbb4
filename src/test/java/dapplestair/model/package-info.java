/**
 * An explicit-state model of launch, halt and clear: every interleaving within small bounds, with
 * the product's own rules for tokens and proofs of absence.
 */
package dapplestair.model;
