/** Reading and writing JSON. */
package dapplestair.json;
