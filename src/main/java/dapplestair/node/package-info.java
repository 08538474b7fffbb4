/** One controller: its duties, wired together over the ports. */
package dapplestair.node;
