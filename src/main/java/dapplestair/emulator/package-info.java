/** State service, cloud and workers by their protocol, on virtual or on real time. */
package dapplestair.emulator;
