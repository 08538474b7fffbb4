/** What silence of machines and zones means: who was last heard when, and how long to wait. */
package dapplestair.silence;
