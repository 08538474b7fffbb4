/** Types of machines that the cloud rents. */
package dapplestair.machines;
