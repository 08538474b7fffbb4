/** Emulates the state service, the cloud and the workers, on virtual or on real time. */
package dapplestair.emulator;
