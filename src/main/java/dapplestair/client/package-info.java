/**
 * The command line client for operators. A command calls the service, waits no longer than its
 * timeout, and prints the answer.
 */
package dapplestair.client;
