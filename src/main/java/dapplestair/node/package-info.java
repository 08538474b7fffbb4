/** A controller: wires its components to each other and to the ports. */
package dapplestair.node;
