/** The command line. */
package dapplestair.cli;
