/** Interfaces through which components use time, other processes and other threads. */
package dapplestair.ports;
