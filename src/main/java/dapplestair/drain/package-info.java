/**
 * Drains machines and zones on operators' orders. The orders are recorded, so that every leader
 * continues them.
 */
package dapplestair.drain;
