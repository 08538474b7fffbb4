/** Makes the keys and tokens of the operators' interface. */
package dapplestair.keys;
