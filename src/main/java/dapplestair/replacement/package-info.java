/**
 * Replaces workers in steps, starting new ones first. The orders are recorded, so that every leader
 * continues them.
 */
package dapplestair.replacement;
