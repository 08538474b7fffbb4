/** Generates keys, certificates and tokens for the operators' interface. */
package dapplestair.keys;
