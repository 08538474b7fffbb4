/** Tracks jobs that were accepted after a controller last read the records. */
package dapplestair.accepted;
