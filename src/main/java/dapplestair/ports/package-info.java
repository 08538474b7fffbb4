/** The small ports through which duties meet time, other processes and other threads. */
package dapplestair.ports;
