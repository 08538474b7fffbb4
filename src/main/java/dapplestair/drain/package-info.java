/** Machines and zones that operators empty: recorded, carried on by whoever leads. */
package dapplestair.drain;
