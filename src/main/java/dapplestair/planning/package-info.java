/** Plans how many steady and spot machines of each type to hold. */
package dapplestair.planning;
