/** Gaps in the running of this process, and what it must learn anew after one. */
package dapplestair.pause;
