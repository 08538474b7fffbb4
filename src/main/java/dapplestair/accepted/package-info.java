/** Jobs that were accepted after the records of a controller were last read. */
package dapplestair.accepted;
