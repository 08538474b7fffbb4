/** The command line: entry points, and the commands that run controllers and the emulator. */
package dapplestair.cli;
