/** The ports on Netty: one event loop, HTTP in and out, links between controllers. */
package dapplestair.netty;
