/** Tracks when machines and zones were last heard, and decides how long to wait for silent ones. */
package dapplestair.silence;
