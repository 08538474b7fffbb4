/** How many machines of each type to hold, steady and spot. */
package dapplestair.planning;
