/** JSON parsing and serialisation. */
package dapplestair.json;
