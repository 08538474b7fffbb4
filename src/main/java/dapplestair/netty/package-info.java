/** Implements the ports with Netty: one event loop, HTTP server and client, peer links. */
package dapplestair.netty;
